import type { OperatorRead } from "./operator_read.ts";

/**
 * The share of `evacuateMs`, at most 1.5 s, that is left for a start that has
 * been sent; the gate's `StartWindow` ends it.
 */
const deliveryShare = 0.3;
const maxDeliveryMs = 1_500;

/**
 * Decides whether a keeper may send starts. It must have read the operator's
 * stream so recently that a start is executed in time even if an evacuation was
 * requested right after that read. Handles loss of the store and suspended
 * machines: the higher age by the two clocks counts, since the monotonic one
 * stands still while a machine is suspended.
 */
export class EvacuationGuard {
  constructor(readonly evacuateMs: number) {}

  /** How old the newest read is; infinite if there is none. */
  ageMs(
    read: OperatorRead | undefined,
    nowMs: number,
    wallMs: number,
  ): number {
    if (read === undefined) return Infinity;
    return Math.max(0, nowMs - read.sentAtMs, wallMs - read.sentAtWallMs);
  }

  /** Whether starts may be sent at that age of the newest read. */
  mayStart(ageMs: number): boolean {
    const deliveryMs = Math.min(
      maxDeliveryMs,
      this.evacuateMs * deliveryShare,
    );
    return ageMs < this.evacuateMs - deliveryMs;
  }
}
