import type { StartCommand } from "../core/cell/start_command.ts";
import { callRunner } from "./call_runner.ts";
import type { GateContext } from "./gate_context.ts";
import { leaseEndForStart } from "./lease_end_for_start.ts";

/** Sends a start once the runner may be called, if it is still needed then. */
export function sendStart(
  { task, run, payload, ticket, checkpoint }: StartCommand,
  context: GateContext,
  arrivedAtMs: number,
  isNeeded: () => boolean,
) {
  const { instance } = context.lastHeartbeat!;
  return callRunner(context, "start", isNeeded, () => {
    const { epoch, runner } = context;
    const leaseEndClockMs = leaseEndForStart(context, arrivedAtMs);
    return runner.start({
      instance,
      epoch,
      task,
      run,
      payload,
      ticket,
      checkpoint,
      leaseEndClockMs,
    });
  });
}
