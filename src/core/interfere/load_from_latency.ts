/**
 * Returns the load that explains a latency. Both arguments are relative to the
 * service's target; `floor` is the latency when idle. The latency of a queue
 * grows as floor / (1 - load), so that the effects of several causes add up in
 * the load but not in the latency.
 */
export function loadFromLatency(ratio: number, floor: number): number {
  return ratio <= floor ? 0 : 1 - floor / ratio;
}
