import type { StartCommand } from "../core/cell/start_command.ts";
import type { GateContext } from "./gate_context.ts";
import { leaseEndForStart } from "./lease_end_for_start.ts";
import type { RunnerResult } from "./runner_result.ts";

interface SentStart {
  readonly sentAtMs: number;
  /** Undefined if the start was not needed any more when its turn came. */
  readonly answer: RunnerResult<undefined> | undefined;
}

/** Sends a start once the runner may be called, if it is still needed then. */
export function sendStart(
  { task, run, payload, ticket, checkpoint }: StartCommand,
  context: GateContext,
  arrivedAtMs: number,
  isNeeded: () => boolean,
): Promise<SentStart> {
  const { clock, lastHeartbeat, runner, slots } = context;
  const { instance } = lastHeartbeat!;
  return slots.run("start", async () => {
    const sentAtMs = clock.nowMs();
    if (!isNeeded()) return { sentAtMs, answer: undefined };
    const { epoch } = context;
    const leaseEndClockMs = leaseEndForStart(context, arrivedAtMs);
    const answer = await runner.start({
      instance,
      epoch,
      task,
      run,
      payload,
      ticket,
      checkpoint,
      leaseEndClockMs,
    });
    return { sentAtMs, answer };
  });
}
