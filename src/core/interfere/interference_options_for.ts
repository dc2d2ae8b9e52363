import type { InterferenceOptions } from "./interference_options.ts";

const patienceMs = 4_000;
const evictionPatience = 5;

/** The options that a venture's weights ask for. */
export function interferenceOptionsFor(
  latencyWeight: number,
  evictionWeight: number,
): InterferenceOptions {
  const caution = evictionWeight / Math.max(latencyWeight, 0.01);
  return {
    strainedRatio: 1.5,
    easedRatio: 1.25,
    throttleAfterMs: 3_000,
    moveAfterMs: patienceMs * (1 + evictionPatience * caution),
    recoverAfterMs: 15_000,
    throttledShare: 0.25,
    apartSlowdown: 1.4,
  };
}
