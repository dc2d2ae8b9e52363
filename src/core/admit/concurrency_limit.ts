/** Weight of a new sample in the short-term mean of the latency. */
const shortTermWeight = 0.05;
/** Weight of a new sample in the long-term mean of the latency. */
const longTermWeight = 0.002;
/** Samples before the limit is adjusted at all. */
const minSamples = 50;
/** Ratio of the short-term to the long-term mean that lowers the limit. */
const toleratedSlowdown = 2;
const decreaseFactor = 0.9;
/** The limit never falls below this share of the slots. */
const minLimitShare = 0.25;
const adjustIntervalMs = 200;

/**
 * Adapts how many requests run at once. The limit falls while the short-term
 * mean latency is well above the long-term mean; otherwise it rises by one
 * whenever it is fully used.
 */
export class ConcurrencyLimit {
  #limit: number;
  #shortTermMs = 0;
  #longTermMs = 0;
  #samples = 0;
  #adjustedAtMs = 0;

  constructor(public slots: number) {
    this.#limit = slots;
  }

  /** Number of requests that may run at once. */
  get value(): number {
    return Math.max(1, Math.min(this.slots, Math.floor(this.#limit)));
  }

  /** Short-term mean of the time that a request takes at the runner. */
  get latencyMs(): number {
    return this.#shortTermMs;
  }

  /** Records the latency of one request, and the requests then in flight. */
  observe(tookMs: number, inFlight: number, nowMs: number): void {
    this.#samples += 1;
    // The first samples are averaged evenly.
    const evenWeight = 1 / this.#samples;
    const shortTermSampleWeight = Math.max(shortTermWeight, evenWeight);
    const longTermSampleWeight = Math.max(longTermWeight, evenWeight);
    this.#shortTermMs += (tookMs - this.#shortTermMs) * shortTermSampleWeight;
    this.#longTermMs += (tookMs - this.#longTermMs) * longTermSampleWeight;
    if (this.#samples < minSamples) return;
    if (nowMs - this.#adjustedAtMs < adjustIntervalMs) return;
    this.#adjustedAtMs = nowMs;
    this.#adjust(inFlight);
  }

  #adjust(inFlight: number): void {
    const minLimit = Math.max(1, this.slots * minLimitShare);
    if (this.#shortTermMs > this.#longTermMs * toleratedSlowdown) {
      this.#limit = Math.max(minLimit, this.#limit * decreaseFactor);
    } else if (inFlight >= this.value) {
      this.#limit = Math.min(this.slots, this.#limit + 1);
    }
  }
}
