const shortSmoothing = 0.05;
const longSmoothing = 0.002;
const samplesBefore = 50;
const tolerated = 2;
const backOff = 0.9;
const smallestShare = 0.25;
const adjustEveryMs = 200;

/**
 * Adapts how many requests run at once: a smoothed latency well above its
 * long-term mean lowers the limit, to a share of the slots at least; at the
 * usual latency a full house raises it again.
 */
export class ConcurrencyLimit {
  #limit: number;
  #shortMs = 0;
  #longMs = 0;
  #samples = 0;
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
    this.#samples += 1;
    const early = 1 / this.#samples;
    const shortWeight = Math.max(shortSmoothing, early);
    const longWeight = Math.max(longSmoothing, early);
    this.#shortMs += (tookMs - this.#shortMs) * shortWeight;
    this.#longMs += (tookMs - this.#longMs) * longWeight;
    if (this.#samples < samplesBefore) return;
    if (nowMs - this.#adjustedAtMs < adjustEveryMs) return;
    this.#adjustedAtMs = nowMs;
    this.#adjust(inFlight);
  }

  #adjust(inFlight: number): void {
    const smallest = Math.max(1, this.slots * smallestShare);
    if (this.#shortMs > this.#longMs * tolerated) {
      this.#limit = Math.max(smallest, this.#limit * backOff);
    } else if (inFlight >= this.value) {
      this.#limit = Math.min(this.slots, this.#limit + 1);
    }
  }
}
