import type { RunningWork } from "./running_work.ts";

/**
 * The CPU that running work leaves over time, as runs end. Queries take
 * O(log n) in the number of runs.
 */
export class CapacityCurve {
  /** When the free CPU changes; the first time is 0. */
  readonly #atMs: number[] = [0];
  /** The free CPU from each of these times on. */
  readonly #freeMilli: number[];
  /** The CPU time that was free before each of them. */
  readonly #milliMs: number[] = [0];

  constructor(freeMilli: number, running: readonly RunningWork[]) {
    this.#freeMilli = [Math.max(0, freeMilli)];
    const byEnd = [...running].sort((a, b) => a.remainingMs - b.remainingMs);
    for (const { cpuMilli, remainingMs } of byEnd) {
      const last = this.#atMs.length - 1;
      const atMs = Math.max(0, remainingMs);
      const free = this.#freeMilli[last]!;
      this.#atMs.push(atMs);
      this.#freeMilli.push(free + cpuMilli);
      this.#milliMs.push(
        this.#milliMs[last]! + free * (atMs - this.#atMs[last]!),
      );
    }
  }

  /** When this much CPU is free, or at least all that ever is, if any is. */
  timeOfFree(cpuMilli: number): number {
    const allMilli = this.#freeMilli.at(-1)!;
    if (allMilli === 0 && cpuMilli > 0) return Infinity;
    const leastMilli = Math.min(cpuMilli, allMilli);
    return this.#atMs[firstAtLeast(this.#freeMilli, leastMilli)]!;
  }

  /** When this much CPU time has been free. */
  timeOfWork(milliMs: number): number {
    if (milliMs <= 0) return 0;
    const index = firstAtLeast(this.#milliMs, milliMs) - 1;
    const free = this.#freeMilli[index]!;
    if (free === 0) return Infinity;
    return this.#atMs[index]! + (milliMs - this.#milliMs[index]!) / free;
  }
}

/** The index of the first value of an ascending list that is at least this. */
function firstAtLeast(values: readonly number[], least: number): number {
  let from = 0;
  let to = values.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if (values[middle]! < least) from = middle + 1;
    else to = middle;
  }
  return from;
}
