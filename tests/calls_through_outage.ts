import { retryAfterS } from "../src/core/outage/retry_after_s.ts";
import type { RowStorer } from "../src/nodes/row_storer.ts";
import type { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";

const maxRetries = 4;
/** The part of a deadline that the entry reserves for its answer. */
const answerMarginMs = 150;
const msPerSecond = 1_000;

/** What the callers got. */
interface OutageTally {
  stored: number;
  /** Jobs whose callers gave up without knowing them stored. */
  lost: number;
  refused: number;
  /** Refusals later than a quarter of the caller's time. */
  late: number;
  unknown: number;
  /** Keys of which every answer was a refusal. */
  readonly alwaysRefused: Set<string>;
}

/** Submits a job as a caller that retries within its total time limit. */
export async function callThroughOutage(
  storer: RowStorer,
  clock: VirtualClock,
  key: string,
  tally: OutageTally,
  callerLimitMs = 3_017,
): Promise<void> {
  const endMs = clock.nowMs() + callerLimitMs;
  let isRefused = true;
  for (let attempt = 0; attempt <= maxRetries; attempt++) {
    const arrivedAtMs = clock.nowMs();
    const deadlineMs = endMs - arrivedAtMs;
    if (deadlineMs <= 0) break;
    const withinMs = Math.max(answerMarginMs, deadlineMs - answerMarginMs);
    const time = {
      arrivedAtMs,
      deadlineMs,
      withinMs,
      signal: new AbortController().signal,
    };
    const outcome = await storer.store({ key, value: key }, time);
    if (outcome.kind === "stored") {
      isRefused = false;
      if (clock.nowMs() > endMs) break;
      tally.stored += 1;
      return;
    }
    if (outcome.kind === "unknown") {
      isRefused = false;
      tally.unknown += 1;
      continue;
    }
    tally.refused += 1;
    const tookMs = clock.nowMs() - arrivedAtMs;
    if (tookMs > deadlineMs / 4) tally.late += 1;
    const waitS = retryAfterS(outcome.retryAfterMs, deadlineMs - tookMs);
    await clock.sleep(waitS * msPerSecond);
  }
  tally.lost += 1;
  if (isRefused) tally.alwaysRefused.add(key);
}
