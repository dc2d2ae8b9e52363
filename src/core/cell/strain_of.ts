import type { Worker } from "./worker.ts";

/** The worst latency of the worker's services, as a multiple of their targets. */
export function strainOf(worker: Worker): number {
  let worst = 0;
  for (const task of worker.claims.values()) {
    const { isService, targetLatencyMs } = task.group.definition;
    if (!isService || targetLatencyMs === 0) continue;
    const figure = worker.statuses.get(task.name)?.figure ?? 0;
    worst = Math.max(worst, figure / targetLatencyMs);
  }
  return worst;
}
