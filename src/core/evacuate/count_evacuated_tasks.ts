import type { Worker } from "../cell/worker.ts";

/**
 * How many runs are left in each data centre that is evacuated. Undefined while
 * a worker that has claims has not reported where it is.
 */
export function countEvacuatedTasks(
  workers: Iterable<Worker>,
  zones: Iterable<string>,
): ReadonlyMap<string, number> | undefined {
  const counts = new Map([...zones].map((zone) => [zone, 0]));
  for (const { claims, report, strays } of workers) {
    if (report === undefined && claims.size > 0) return undefined;
    const count = counts.get(report?.zone ?? "");
    if (report === undefined || count === undefined) continue;
    counts.set(report.zone, count + claims.size + strays.size);
  }
  return counts;
}
