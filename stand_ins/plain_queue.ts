import type { Queue } from "../src/core/jobs/queue.ts";

/** A queue without an advisor that serves one pool, but for a change. */
export function plainQueue(change: Partial<Queue> = {}): Queue {
  return {
    name: "q",
    pool: "pool",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetMs: 500,
    advice: undefined,
    ...change,
  };
}
