import type { InterferenceOptions } from "./interference_options.ts";

/** How long throttling is tried if evictions have no weight. */
const baseMoveDelayMs = 4_000;
/** How strongly the ratio of the weights lengthens the time of throttling. */
const evictionDelayFactor = 5;

/** Returns the options for a venture's weights of latency and of evictions. */
export function interferenceOptionsFor(
  latencyWeight: number,
  evictionWeight: number,
): InterferenceOptions {
  const weightRatio = evictionWeight / Math.max(latencyWeight, 0.01);
  return {
    strainedRatio: 1.5,
    easedRatio: 1.25,
    throttleAfterMs: 3_000,
    moveAfterMs: baseMoveDelayMs * (1 + evictionDelayFactor * weightRatio),
    recoverAfterMs: 15_000,
    throttledShare: 0.25,
    apartSlowdown: 1.4,
  };
}
