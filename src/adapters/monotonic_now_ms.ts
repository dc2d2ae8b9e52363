import { performance } from "node:perf_hooks";

/** The process's monotonic clock. */
export function monotonicNowMs(): number {
  return performance.now();
}
