import type { GateContext } from "./gate_context.ts";
import type { Run } from "./run.ts";

const retryPauseMs = 30;

/**
 * Sends a run's stop until the runner's current life acknowledges it: from then
 * on that life rejects the run, also if another process starts it. Returns
 * whether it was acknowledged.
 */
export async function sendStop(
  context: GateContext,
  { task, run }: Run,
  isNeeded: () => boolean,
): Promise<boolean> {
  const { instance, bornMs } = context.lastHeartbeat!;
  while (isNeeded()) {
    const { epoch } = context;
    const answer = await context.runner.stop({ instance, epoch, task, run });
    if (context.lastHeartbeat?.bornMs !== bornMs) return false;
    context.recordClock(answer);
    if (answer.isOk) return isNeeded();
    await context.clock.sleep(retryPauseMs);
  }
  return false;
}
