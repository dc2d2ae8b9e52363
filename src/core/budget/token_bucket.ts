/** Allows a steady rate with bursts up to a cap. */
export class TokenBucket {
  #tokens: number;
  #filledAtMs = 0;

  constructor(readonly perSecond: number, readonly burst: number) {
    this.#tokens = burst;
  }

  /** Takes tokens if there are enough. */
  take(nowMs: number, tokens = 1): boolean {
    this.#fill(nowMs);
    if (this.#tokens < tokens) return false;
    this.#tokens -= tokens;
    return true;
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    const gained = elapsedMs * this.perSecond / 1_000;
    this.#tokens = Math.min(this.burst, this.#tokens + gained);
    this.#filledAtMs = Math.max(this.#filledAtMs, nowMs);
  }
}
