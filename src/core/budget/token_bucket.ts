/** Limits a rate; tokens that were not used allow bursts up to a cap. */
export class TokenBucket {
  #tokens: number;
  #refilledAtMs = 0;

  constructor(readonly tokensPerSecond: number, readonly burst: number) {
    this.#tokens = burst;
  }

  /** Consumes the tokens; false, consuming none, if there are too few. */
  consume(nowMs: number, tokens = 1): boolean {
    this.#refill(nowMs);
    if (this.#tokens < tokens) return false;
    this.#tokens -= tokens;
    return true;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    const gained = elapsedMs * this.tokensPerSecond / 1_000;
    this.#tokens = Math.min(this.burst, this.#tokens + gained);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}
