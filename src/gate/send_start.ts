import type { StartCommand } from "../core/cell/start_command.ts";
import { callRunner } from "./call_runner.ts";
import { leaseEndForStart } from "./lease_end_for_start.ts";
import type { StartOwner } from "./start_owner.ts";

/** Sends a start once the runner may be called, if it is still needed then. */
export function sendStart(
  { task, run, payload, ticket, checkpoint }: StartCommand,
  { context, unconfirmed }: Pick<StartOwner, "context" | "unconfirmed">,
  arrivedAtMs: number,
  isNeeded: () => boolean,
) {
  const { instance } = context.lastHeartbeat!;
  return callRunner(context, "start", isNeeded, () => {
    const { epoch, runner } = context;
    const leaseEndClockMs = leaseEndForStart(context, arrivedAtMs);
    return unconfirmed.track(() =>
      runner.start({
        instance,
        epoch,
        task,
        run,
        payload,
        ticket,
        checkpoint,
        leaseEndClockMs,
      })
    );
  });
}
