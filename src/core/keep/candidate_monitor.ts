import type { PeerId } from "../../schema/peer_id.ts";

interface CandidateTimes {
  answeredAtMs: number;
  pledgedAtMs: number;
}

/** An answering candidate without a pledge for this long renews the epoch. */
const unpledgedTimeoutMs = 1_500;
/** A candidate that is silent for this long may be replaced. */
const silenceTimeoutMs = 10_000;

/** Tracks whether the candidates of an epoch answer keep-alives and pledge. */
export class CandidateMonitor {
  readonly #times = new Map<PeerId, CandidateTimes>();
  #startedAtMs = 0;

  /** Forgets all answers; called when an epoch starts. */
  reset(nowMs: number): void {
    this.#times.clear();
    this.#startedAtMs = nowMs;
  }

  /** Records a candidate's answer to a keep-alive. */
  recordAnswer(candidate: PeerId, pledged: boolean, nowMs: number): void {
    const times = this.#timesOf(candidate);
    times.answeredAtMs = nowMs;
    if (pledged) times.pledgedAtMs = nowMs;
  }

  /** Whether the candidate has not answered within the timeout. */
  isSilent(candidate: PeerId, nowMs: number): boolean {
    return nowMs - this.#timesOf(candidate).answeredAtMs > silenceTimeoutMs;
  }

  /** Whether the candidate answers but does not pledge in this epoch. */
  refuses(candidate: PeerId, nowMs: number): boolean {
    const { answeredAtMs, pledgedAtMs } = this.#timesOf(candidate);
    return answeredAtMs > this.#startedAtMs &&
      nowMs - pledgedAtMs > unpledgedTimeoutMs &&
      nowMs - answeredAtMs < unpledgedTimeoutMs;
  }

  #timesOf(candidate: PeerId): CandidateTimes {
    const existing = this.#times.get(candidate);
    if (existing !== undefined) return existing;
    const times = {
      answeredAtMs: this.#startedAtMs,
      pledgedAtMs: this.#startedAtMs,
    };
    this.#times.set(candidate, times);
    return times;
  }
}
