import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import { clockDrift } from "../core/clock/clock_drift.ts";
import { maxPermitMs } from "../core/clock/max_permit_ms.ts";
import { maxTransitMs } from "../core/clock/max_transit_ms.ts";
import { confirmationValidMs } from "./confirmation_valid_ms.ts";
import { EarlierKeepers } from "./earlier_keepers.ts";
import type { RowWriter } from "./row_writer.ts";

/** Added to the longest lease before it counts as expired. */
const marginMs = 250;
/** How long after a renewed report a next life can begin a lease. */
const nextLifeMs = (maxPermitMs + maxTransitMs) * (1 + clockDrift);

/** Tracks which leases a keeper may renew, and which have expired. */
export class LeaseTracker {
  /** When each worker first reported, by the monotonic clock. */
  readonly #reportedAtMs = new Map<NodeId, number>();
  /** When the lease of each worker was last renewed by this keeper. */
  readonly #renewedAtMs = new Map<NodeId, number>();

  constructor(
    readonly writer: RowWriter,
    readonly maxHoldMs: number,
    readonly clock: Clock,
    readonly earlier = new EarlierKeepers(clock),
  ) {}

  /**
   * Whether the store has confirmed this keeper recently enough. Both clocks
   * count, since the monotonic one may stop while the machine is suspended.
   */
  get mayRenew(): boolean {
    const { confirmedAtMs, confirmedAtWallMs } = this.writer;
    return this.clock.nowMs() - confirmedAtMs < confirmationValidMs &&
      this.clock.wallMs() - confirmedAtWallMs < confirmationValidMs;
  }

  /** Records a report, after which no earlier keeper renews the lease. */
  recordReport(node: NodeId): void {
    if (this.#reportedAtMs.has(node)) return;
    this.#reportedAtMs.set(node, this.clock.nowMs());
  }

  /** Records that a worker's lease is renewed now. */
  renew(node: NodeId): void {
    this.#renewedAtMs.set(node, this.clock.nowMs());
  }

  /**
   * Whether a worker's lease has expired even by a slow runner's clock, if no
   * other keeper renewed it, for a claim that its life has listed or not. A next
   * life of the runner may have taken the start of one that it has not, and
   * counts a lease from then.
   */
  hasExpired(node: NodeId, isListed = true): boolean {
    return this.leftMs(node, isListed) === 0;
  }

  /** How long ago a worker's lease was renewed; undefined if it was not. */
  renewedAgeMs(node: NodeId): number | undefined {
    const renewedAtMs = this.#renewedAtMs.get(node);
    if (renewedAtMs === undefined) return undefined;
    return Math.round(this.clock.nowMs() - renewedAtMs);
  }

  /** How long until `hasExpired`. */
  leftMs(node: NodeId, isListed = true): number {
    const endsAtMs = this.#endsAtMs(node) + (isListed ? 0 : nextLifeMs);
    return Math.max(0, Math.ceil(endsAtMs - this.clock.nowMs()));
  }

  #endsAtMs(node: NodeId): number {
    const { earlier } = this;
    const renewedAtMs = this.#renewedAtMs.get(node);
    if (renewedAtMs !== undefined) return renewedAtMs + this.#maxLeaseMs;
    const reportedAtMs = this.#reportedAtMs.get(node) ?? Infinity;
    return Math.min(
      earlier.endsAtMs(node) ?? Infinity,
      Math.min(earlier.untilMs, reportedAtMs) + this.#maxLeaseMs,
    );
  }

  get #maxLeaseMs(): number {
    return this.maxHoldMs * (1 + clockDrift) + marginMs;
  }
}
