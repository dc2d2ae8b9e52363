import { callRunner } from "./call_runner.ts";
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
  const { clock } = context;
  const { instance, bornMs } = context.lastHeartbeat!;
  const isKnownLife = () => context.lastHeartbeat?.bornMs === bornMs;
  const sinceMs = clock.nowMs();
  let logAtMs = sinceMs + minLoggedMs;
  while (isNeeded()) {
    const isNeededNow = () => isKnownLife() && isNeeded();
    const sent = await callRunner(context, "stop", isNeededNow, () => {
      const { epoch, runner } = context;
      return runner.stop({ instance, epoch, task, run });
    });
    if (sent === undefined || !isKnownLife()) return false;
    const { answer, sentAtMs } = sent;
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
