import type { PeerId } from "../../schema/peer_id.ts";
import type { LeaseOptions } from "./lease_options.ts";

/**
 * Tells a keeper until when it may grant leases: while it has read the log's
 * end of late, or while every candidate has pledged not to take over.
 */
export class Authority {
  #headReadAtMs = -Infinity;
  readonly #pledgedAtMs = new Map<PeerId, number>();

  constructor(readonly options: LeaseOptions) {}

  /** A read that reached the log's end was started then. */
  readHead(startedAtMs: number): void {
    this.#headReadAtMs = Math.max(this.#headReadAtMs, startedAtMs);
  }

  /** How long ago the newest read that reached the log's end was started. */
  readAgeMs(nowMs: number): number {
    return nowMs - this.#headReadAtMs;
  }

  /** A candidate answered the keep-alive that was sent then. */
  pledged(candidate: PeerId, sentAtMs: number): void {
    const last = this.#pledgedAtMs.get(candidate) ?? -Infinity;
    this.#pledgedAtMs.set(candidate, Math.max(last, sentAtMs));
  }

  /** Whether the keeper may grant leases now. */
  holds(others: readonly PeerId[], nowMs: number): boolean {
    const { freshMs } = this.options;
    return nowMs < this.#headReadAtMs + freshMs ||
      this.#allPledged(others, nowMs);
  }

  #allPledged(others: readonly PeerId[], nowMs: number): boolean {
    const { pledgeMs, driftRatio, marginMs } = this.options;
    const trustedMs = pledgeMs * (1 - driftRatio) - marginMs;
    return others.every((candidate) => {
      const sentAtMs = this.#pledgedAtMs.get(candidate) ?? -Infinity;
      return nowMs < sentAtMs + trustedMs;
    });
  }
}
