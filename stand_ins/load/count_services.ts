import type { LoadWorker } from "./load_worker.ts";

/** Counts the services that serve well, and those over their target. */
export function countServices(
  workers: Iterable<LoadWorker>,
  nowMs: number,
): { readonly well: number; readonly over: number } {
  let well = 0;
  let over = 0;
  for (const worker of workers) {
    for (const run of worker.runs.values()) {
      if (!run.command.isService) continue;
      if (run.isOver) over += 1;
      else if (worker.isServingWell(run, nowMs)) well += 1;
    }
  }
  return { well, over };
}
