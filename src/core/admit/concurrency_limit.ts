const smoothing = 0.1;
const longWindowSmoothing = 0.005;
const tolerated = 2;
const backOff = 0.9;
const growth = 0.1;
const adjustEveryMs = 200;

/**
 * Adapts how many requests run at once: latency well above its usual level
 * lowers the limit, a full house at usual latency raises it to the slots.
 */
export class ConcurrencyLimit {
  #limit: number;
  #shortMs = 0;
  #longMs = 0;
  #adjustedAtMs = 0;

  constructor(public slots: number) {
    this.#limit = slots;
  }

  /** How many requests may run now. */
  get value(): number {
    return Math.max(1, Math.min(this.slots, Math.floor(this.#limit)));
  }

  /** The smoothed time that a request takes at the runner. */
  get latencyMs(): number {
    return this.#shortMs;
  }

  /** The runner took this long while so many requests ran. */
  observe(tookMs: number, inFlight: number, nowMs: number): void {
    if (this.#longMs === 0) {
      this.#shortMs = tookMs;
      this.#longMs = tookMs;
    }
    this.#shortMs += (tookMs - this.#shortMs) * smoothing;
    const isRise = tookMs > this.#longMs;
    const weight = isRise ? longWindowSmoothing : smoothing;
    this.#longMs += (tookMs - this.#longMs) * weight;
    if (nowMs - this.#adjustedAtMs < adjustEveryMs) return;
    this.#adjustedAtMs = nowMs;
    this.#adjust(inFlight);
  }

  #adjust(inFlight: number): void {
    if (this.#shortMs > this.#longMs * tolerated) {
      this.#limit = Math.max(1, this.#limit * backOff);
    } else if (inFlight >= this.value) {
      this.#limit = Math.min(
        this.slots,
        this.#limit + Math.max(1, this.#limit * growth),
      );
    }
  }
}
