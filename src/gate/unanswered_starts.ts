import { runKey } from "../core/jobs/run_key.ts";
import { maxLatenessMs } from "../core/clock/max_lateness_ms.ts";
import type { Run } from "./run.ts";

/** The runs with a start that got no answer and may still be executed. */
export class UnansweredStarts {
  readonly #starts = new Map<string, { run: Run; atMs: number }>();

  record(run: Run, nowMs: number): void {
    this.#dropOld(nowMs);
    this.#starts.set(runKey(run), { run, atMs: nowMs });
  }

  /** Whether any start may still be executed. */
  hasAny(nowMs: number): boolean {
    this.#dropOld(nowMs);
    return this.#starts.size > 0;
  }

  /** The runs, by key. */
  runs(nowMs: number): Map<string, Run> {
    this.#dropOld(nowMs);
    return new Map([...this.#starts].map(([key, { run }]) => [key, run]));
  }

  #dropOld(nowMs: number): void {
    for (const [key, { atMs }] of this.#starts) {
      if (nowMs - atMs > maxLatenessMs) this.#starts.delete(key);
    }
  }
}
