import type { RunMeasure } from "./run_measure.ts";

/** A run has to advance by this much before its progress is extrapolated. */
const minPercent = 15;
/** A group's own times count once this share of its tasks is known. */
const minKnownShare = 0.2;
const minKnown = 2;

/** The times that the tasks of one group take, as they have shown so far. */
export class GroupTimes {
  readonly #timesMs = new Map<number, number>();
  readonly #done = new Set<number>();

  /** Extrapolates the time of a task from its run's progress. */
  observe(index: number, measure: RunMeasure): void {
    const { firstPercent, percent, workedMs } = measure;
    if (percent - firstPercent < minPercent || this.#done.has(index)) return;
    this.#timesMs.set(index, workedMs * 100 / (percent - firstPercent));
  }

  /** Records the time of a task that is done. */
  record(index: number, actualMs: number): void {
    this.#done.add(index);
    this.#timesMs.set(index, actualMs);
  }

  /** The median time, if enough of the group's tasks are known. */
  typicalMs(count: number): number | undefined {
    const known = this.#timesMs.size;
    if (known < Math.max(minKnown, count * minKnownShare)) return undefined;
    const times = [...this.#timesMs.values()].sort((a, b) => a - b);
    return times[Math.floor((known - 1) / 2)];
  }
}
