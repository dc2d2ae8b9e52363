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

  /**
   * `ignoresOvertaken`: a call without answer that was sent before the last
   * answered one says nothing. Otherwise the calls that an outage has left
   * without answer show another one when they time out after its end.
   */
  constructor(readonly ignoresOvertaken = false) {}

  /** Records whether a call was answered, which took `tookMs`. */
  recordCall(isAnswered: boolean, nowMs: number, tookMs = 0): void {
    const isOvertaken = nowMs - tookMs < this.#reachedAtMs;
    if (this.ignoresOvertaken && isOvertaken && !isAnswered) return;
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
