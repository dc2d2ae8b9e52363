import type { GateContext } from "./gate_context.ts";

/**
 * The end of the lease that a start carries, on the runner's clock. It ends with
 * the window for starts, so that the runner rejects one that reaches it later.
 * Polls extend the lease.
 */
export function leaseEndForStart(
  { lease, startWindow }: GateContext,
  arrivedAtMs: number,
): number {
  const endMs = startWindow.endMsFor(arrivedAtMs);
  const lastClockMs = Math.floor(lease.clock.lowestReadingAt(endMs));
  return Math.min(lease.grant() ?? 0, lastClockMs);
}
