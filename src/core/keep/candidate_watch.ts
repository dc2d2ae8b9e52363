import type { PeerId } from "../../schema/peer_id.ts";

interface Seen {
  answeredAtMs: number;
  pledgedAtMs: number;
}

/** How long a candidate may give no pledge before the epoch is renewed. */
const unpledgedMs = 1_500;
/** How long a candidate may be silent before another takes its place. */
const silentMs = 10_000;

/** Watches whether the candidates of an epoch answer and pledge. */
export class CandidateWatch {
  readonly #seen = new Map<PeerId, Seen>();
  #startedAtMs = 0;

  /** Starts anew with an epoch. */
  reset(nowMs: number): void {
    this.#seen.clear();
    this.#startedAtMs = nowMs;
  }

  /** A candidate answered a keep-alive. */
  answered(candidate: PeerId, pledged: boolean, nowMs: number): void {
    const seen = this.#of(candidate);
    seen.answeredAtMs = nowMs;
    if (pledged) seen.pledgedAtMs = nowMs;
  }

  /** Whether the candidate has been silent too long. */
  isSilent(candidate: PeerId, nowMs: number): boolean {
    return nowMs - this.#of(candidate).answeredAtMs > silentMs;
  }

  /** Whether the candidate answers but may not pledge in this epoch. */
  isUnable(candidate: PeerId, nowMs: number): boolean {
    const { answeredAtMs, pledgedAtMs } = this.#of(candidate);
    return answeredAtMs > this.#startedAtMs &&
      nowMs - pledgedAtMs > unpledgedMs && nowMs - answeredAtMs < unpledgedMs;
  }

  #of(candidate: PeerId): Seen {
    const known = this.#seen.get(candidate);
    if (known !== undefined) return known;
    const seen = {
      answeredAtMs: this.#startedAtMs,
      pledgedAtMs: this.#startedAtMs,
    };
    this.#seen.set(candidate, seen);
    return seen;
  }
}
