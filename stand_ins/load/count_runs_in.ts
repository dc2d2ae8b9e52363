import type { LoadWorker } from "./load_worker.ts";

/** Counts the runs in a data centre. */
export function countRunsIn(
  zone: string,
  workers: Iterable<LoadWorker>,
): number {
  let count = 0;
  for (const worker of workers) {
    if (worker.zone === zone) count += worker.runs.size;
  }
  return count;
}
