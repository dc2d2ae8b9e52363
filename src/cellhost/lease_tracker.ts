import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { RowWriter } from "./row_writer.ts";

/**
 * A keeper renews leases only within this time after an append that the store
 * confirmed: another may have been elected since.
 */
const confirmationValidMs = 8_000;
/** By what share a runner's clock may run slower than the keeper's. */
const clockDrift = 0.02;
/** Added to the longest lease before it counts as expired. */
const marginMs = 250;

/** Tracks which leases a keeper may renew, and which have expired. */
export class LeaseTracker {
  /** When each worker's lease was last renewed, by the monotonic clock. */
  readonly #renewedAtMs = new Map<NodeId, number>();

  constructor(
    readonly writer: RowWriter,
    readonly maxHoldMs: number,
    readonly clock: Clock,
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

  /**
   * Records a worker of an earlier keeper, which may go on renewing the lease
   * until its own confirmation expires.
   */
  inherit(node: NodeId): void {
    this.#renewedAtMs.set(node, this.clock.nowMs() + confirmationValidMs);
  }

  /** Records a report, after which no earlier keeper renews the lease. */
  recordReport(node: NodeId): void {
    const renewedAtMs = this.#renewedAtMs.get(node) ?? Infinity;
    this.#renewedAtMs.set(node, Math.min(renewedAtMs, this.clock.nowMs()));
  }

  /** Records that a worker's lease is renewed now. */
  renew(node: NodeId): void {
    this.#renewedAtMs.set(node, this.clock.nowMs());
  }

  /**
   * Whether a worker's lease has expired even by a slow runner's clock, if no
   * other keeper renewed it.
   */
  hasExpired(node: NodeId): boolean {
    const renewedAtMs = this.#renewedAtMs.get(node);
    if (renewedAtMs === undefined) {
      // Claimed by an earlier keeper, in a job that was read late.
      this.inherit(node);
      return false;
    }
    return this.clock.nowMs() - renewedAtMs >= this.#maxLeaseMs;
  }

  /** How long until `hasExpired`; undefined if no renewal is known. */
  leftMs(node: NodeId): number | undefined {
    const renewedAtMs = this.#renewedAtMs.get(node);
    if (renewedAtMs === undefined) return undefined;
    const leftMs = renewedAtMs + this.#maxLeaseMs - this.clock.nowMs();
    return Math.max(0, Math.round(leftMs));
  }

  get #maxLeaseMs(): number {
    return this.maxHoldMs * (1 + clockDrift) + marginMs;
  }
}
