import type { PeerId } from "../../schema/peer_id.ts";
import type { LeaseOptions } from "./lease_options.ts";

/**
 * Decides whether a keeper may grant leases: while its last read of the log's
 * end is recent, or while all other candidates have pledged not to campaign.
 */
export class LeaseAuthority {
  #headReadAtMs = -Infinity;
  readonly #pledgedAtMs = new Map<PeerId, number>();

  constructor(readonly options: LeaseOptions) {}

  /** Records a read that reached the log's end, by the time it started. */
  recordHeadRead(startedAtMs: number): void {
    this.#headReadAtMs = Math.max(this.#headReadAtMs, startedAtMs);
  }

  /** Time since the start of the newest read that reached the log's end. */
  headReadAgeMs(nowMs: number): number {
    return nowMs - this.#headReadAtMs;
  }

  /** Records a candidate's pledge, by the time its keep-alive was sent. */
  recordPledge(candidate: PeerId, sentAtMs: number): void {
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
    // A candidate counts its pledge from a later time, on its own clock.
    const trustedMs = pledgeMs * (1 - driftRatio) - marginMs;
    return others.every((candidate) => {
      const sentAtMs = this.#pledgedAtMs.get(candidate) ?? -Infinity;
      return nowMs < sentAtMs + trustedMs;
    });
  }
}
