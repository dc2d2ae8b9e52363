/**
 * The load behind a latency. A queue's latency grows as floor / (1 - load), so
 * that what presses on a service adds up in its load though not in its latency.
 */
export function latencyLoad(part: number, floor: number): number {
  return part <= floor ? 0 : 1 - floor / part;
}
