import { performance } from "node:perf_hooks";

/** Returns the time of the process's monotonic clock. */
export function monotonicNowMs(): number {
  return performance.now();
}
