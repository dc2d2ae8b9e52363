/** A runner's clock may be slow by this part. */
const drift = 0.02;

/** Bounds of a runner's steady clock, from what its answers told. */
export class RunnerClock {
  #clockMs = 0;
  #atMs = 0;

  /** Takes in a reading that an answer brought. */
  read(clockMs: number, nowMs: number): void {
    if (clockMs <= this.leastAt(nowMs) && this.#atMs !== 0) return;
    this.#clockMs = clockMs;
    this.#atMs = nowMs;
  }

  /** Forgets all, for a new life of the runner. */
  reset(): void {
    this.#clockMs = 0;
    this.#atMs = 0;
  }

  /** The least that the clock can show; it counts on while we are suspended. */
  leastAt(nowMs: number): number {
    return this.#clockMs + Math.max(0, nowMs - this.#atMs) * (1 - drift);
  }

  /** By when the clock has surely passed a reading, by our steady clock. */
  surelyPassedAt(clockMs: number): number {
    return this.#atMs + Math.max(0, clockMs - this.#clockMs) / (1 - drift);
  }
}
