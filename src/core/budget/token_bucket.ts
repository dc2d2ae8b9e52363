/** Limits a rate; tokens that were not used allow bursts up to a cap. */
export class TokenBucket {
  #tokens: number;
  #refilledAtMs = 0;

  constructor(readonly perSecond: number, readonly burst: number) {
    this.#tokens = burst;
  }

  /** Consumes the tokens; false, consuming none, if there are too few. */
  take(nowMs: number, tokens = 1): boolean {
    this.#refill(nowMs);
    if (this.#tokens < tokens) return false;
    this.#tokens -= tokens;
    return true;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    const gained = elapsedMs * this.perSecond / 1_000;
    this.#tokens = Math.min(this.burst, this.#tokens + gained);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}
