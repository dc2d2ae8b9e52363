import type { CellEffect } from "./cell_effect.ts";
import type { Job } from "./job.ts";

/** Opens the occurrences of scheduled jobs that are due, and saves the jobs. */
export function* openDueOccurrences(
  jobs: Iterable<Job>,
  wallMs: number,
): Generator<CellEffect, void> {
  for (const job of jobs) {
    if (job.definition.schedule === undefined) continue;
    if (job.openDueOccurrences(wallMs)) yield { kind: "save", job };
  }
}
