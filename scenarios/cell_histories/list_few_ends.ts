import type { HistoryWorker } from "./history_worker.ts";

const seedsOf = 5;
const seedWithFewEnds = 4;
/** So few in an answer that ends often wait for others to be forgotten. */
const fewEnds = 2;

/** Lets the runners list few ends in an answer, with some of the seeds. */
export function listFewEnds(
  seed: number,
  workers: readonly HistoryWorker[],
): void {
  if (seed % seedsOf !== seedWithFewEnds) return;
  for (const { runner } of workers) runner.endsPerAnswer = fewEnds;
}
