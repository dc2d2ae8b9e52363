import type { GateContext } from "./gate_context.ts";
import type { Run } from "./run.ts";

const retryPauseMs = 30;
/** A stop without answer for so long is logged, and again after each of these. */
const minLoggedMs = 1_000;
const repeatLogMs = 5_000;

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
  const { clock, slots } = context;
  const { instance, bornMs } = context.lastHeartbeat!;
  const sinceMs = clock.nowMs();
  let logAtMs = sinceMs + minLoggedMs;
  while (isNeeded()) {
    let sentAtMs = sinceMs;
    const answer = await slots.run("stop", async () => {
      sentAtMs = clock.nowMs();
      const isKnownLife = context.lastHeartbeat?.bornMs === bornMs;
      if (!isKnownLife || !isNeeded()) return undefined;
      const { epoch } = context;
      return await context.runner.stop({ instance, epoch, task, run });
    });
    if (answer === undefined) return false;
    if (context.lastHeartbeat?.bornMs !== bornMs) return false;
    context.recordClock(answer, sentAtMs);
    if (answer.isOk) return isNeeded();
    const nowMs = clock.nowMs();
    if (nowMs >= logAtMs) {
      logAtMs = nowMs + repeatLogMs;
      const waitedMs = Math.round(nowMs - sinceMs);
      const { failure } = answer;
      const fields = { task, run, failure, waited_ms: waitedMs };
      context.log.warn("stop_unanswered", fields);
    }
    await clock.sleep(retryPauseMs);
  }
  return false;
}
