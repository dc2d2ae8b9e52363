import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";

/** How often what was learned is saved. */
const saveIntervalMs = 2_000;

/**
 * Decides when what a cell has learned is saved. A keeper that begins without
 * it would place fillers beside any service and trust all declared run times.
 */
export class LearnedRows {
  /** The sample counts of what was last saved. */
  #savedPressures = 0;
  #savedRunTimes = 0;
  #savedAtMs = -Infinity;

  /** The rows that are due to be saved. */
  *take(
    { pressure, statistics: { estimator } }: Cell,
    nowMs: number,
  ): Generator<CellEffect, void> {
    if (nowMs - this.#savedAtMs < saveIntervalMs) return;
    if (pressure.sampleCount !== this.#savedPressures) {
      this.#savedPressures = pressure.sampleCount;
      this.#savedAtMs = nowMs;
      yield { kind: "learned", row: pressure.encode() };
    }
    if (estimator === undefined) return;
    if (estimator.sampleCount === this.#savedRunTimes) return;
    this.#savedRunTimes = estimator.sampleCount;
    this.#savedAtMs = nowMs;
    yield { kind: "runTimes", row: estimator.encode() };
  }
}
