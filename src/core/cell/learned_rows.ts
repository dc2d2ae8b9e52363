import { jsonBytes } from "../check/json_bytes.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";

/** How often what was learned is saved, at most. */
const saveIntervalMs = 2_000;
/** Large rows are saved less often, so that they take this rate on average. */
const maxBytesPerS = 15_000;
const msPerSecond = 1_000;

/**
 * Decides when what a cell has learned is saved. A keeper that begins without
 * it would place fillers beside any service and trust all declared run times.
 */
export class LearnedRows {
  /** The sample counts of what was last saved. */
  #savedPressures = 0;
  #savedRunTimes = 0;
  #nextSaveAtMs = -Infinity;

  /** The rows that are due to be saved. */
  *take(
    { pressure, statistics: { estimator }, options: { maxRowBytes } }: Cell,
    nowMs: number,
  ): Generator<CellEffect, void> {
    if (nowMs < this.#nextSaveAtMs) return;
    if (pressure.sampleCount !== this.#savedPressures) {
      this.#savedPressures = pressure.sampleCount;
      const row = pressure.encode(maxRowBytes);
      this.#delayNext(row, nowMs);
      yield { kind: "learned", row };
    }
    if (estimator === undefined) return;
    if (estimator.sampleCount === this.#savedRunTimes) return;
    this.#savedRunTimes = estimator.sampleCount;
    const row = estimator.encode(maxRowBytes);
    this.#delayNext(row, nowMs);
    yield { kind: "runTimes", row };
  }

  #delayNext(row: unknown, nowMs: number): void {
    const pauseMs = jsonBytes(row) * msPerSecond / maxBytesPerS;
    this.#nextSaveAtMs = Math.max(
      this.#nextSaveAtMs,
      nowMs + Math.max(saveIntervalMs, pauseMs),
    );
  }
}
