import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { SoakProcess } from "./soak_process.ts";

/** The pause between the replacements of two processes. */
const stepMs = 700;

/**
 * Replaces the processes one after the other by those of another build, in
 * random order, first by the newer one, then back, and so on.
 */
export class RollingUpgrade {
  constructor(
    readonly processes: readonly SoakProcess[],
    /** The programs of the older and the newer build. */
    readonly programs: readonly [older: string, newer: string],
    readonly random: RandomSource,
    readonly record: (line: string) => void,
  ) {}

  async run(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    const [older, newer] = this.programs;
    for (let isForward = true; performance.now() < untilMs;) {
      const build = isForward ? "newer" : "older";
      for (const process of this.#shuffled()) {
        process.program = isForward ? newer : older;
        process.signal("SIGTERM");
        this.record(`${process.name} is replaced by the ${build} build`);
        await sleep(stepMs);
        if (performance.now() >= untilMs) return;
      }
      isForward = !isForward;
    }
  }

  #shuffled(): readonly SoakProcess[] {
    return this.processes
      .map((process) => ({ process, rank: this.random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ process }) => process);
  }
}
