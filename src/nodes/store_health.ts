/** A failure shows an outage if no call was answered within this time. */
const outageAfterMs = 250;

/** Tracks by the outcomes of calls whether the store can be reached. */
export class StoreHealth {
  #isReached = true;
  #reachedAtMs = 0;

  /** When a call was last answered. */
  get reachedAtMs(): number {
    return this.#reachedAtMs;
  }

  /** Records whether a call was answered. */
  recordCall(isAnswered: boolean, nowMs: number): void {
    this.#isReached = isAnswered;
    if (isAnswered) this.#reachedAtMs = nowMs;
  }

  /** Whether a call now would probably fail. */
  isUnreachable(nowMs: number): boolean {
    return !this.#isReached && nowMs - this.#reachedAtMs > outageAfterMs;
  }

  /** Since when the store cannot be reached; undefined if it can. */
  unreachableSinceMs(nowMs: number): number | undefined {
    return this.isUnreachable(nowMs) ? this.#reachedAtMs : undefined;
  }
}
