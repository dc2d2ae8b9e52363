import { clockDrift } from "../core/clock/clock_drift.ts";

/** A reading this far below the bound is one of another life's clock. */
const otherLifeLagMs = 1_000;

/** Bounds of a runner's monotonic clock, from the readings in its answers. */
export class RunnerClock {
  #clockMs = 0;
  #atMs = 0;

  /** Applies a reading, if it raises the lower bound. */
  applyReading(clockMs: number, nowMs: number): void {
    if (clockMs <= this.lowestReadingAt(nowMs) && this.#atMs !== 0) return;
    this.#clockMs = clockMs;
    this.#atMs = nowMs;
  }

  /**
   * Whether the reading in an answer is of another life, whose clock began
   * later. An answer may be handled long after the clock was read, but the clock
   * was read after the call had been sent.
   */
  isOfNextLife(clockMs: number, sentAtMs: number): boolean {
    if (this.#atMs === 0) return false;
    const sinceMs = sentAtMs - this.#atMs;
    const rate = sinceMs < 0 ? 1 + clockDrift : 1 - clockDrift;
    return clockMs < this.#clockMs + sinceMs * rate - otherLifeLagMs;
  }

  /** Returns the latest local time at which the clock can have shown a reading. */
  latestTimeOf(clockMs: number, nowMs: number): number {
    if (this.#atMs === 0) return nowMs;
    return nowMs - Math.max(0, this.lowestReadingAt(nowMs) - clockMs);
  }

  /** Forgets all readings, for a new life of the runner. */
  reset(): void {
    this.#clockMs = 0;
    this.#atMs = 0;
  }

  /**
   * Returns the lowest reading that the clock can show at a local time. The
   * clock advances while this process is suspended.
   */
  lowestReadingAt(nowMs: number): number {
    return this.#clockMs + Math.max(0, nowMs - this.#atMs) * (1 - clockDrift);
  }

  /** Returns the local time by which the clock has passed a reading. */
  passedByMs(clockMs: number): number {
    return this.#atMs + Math.max(0, clockMs - this.#clockMs) / (1 - clockDrift);
  }
}
