import { fillerCpuDemand } from "./filler_cpu_demand.ts";
import type { Worker } from "./worker.ts";

/** The CPU demand of a worker's fillers, by image, as shares of capacity. */
export function fillerCpuDemands(
  worker: Worker,
  nowMs: number,
): Map<string, number> {
  const demands = new Map<string, number>();
  for (const task of worker.claims.values()) {
    const { isFiller, image = "" } = task.group.definition;
    if (!isFiller) continue;
    const share = fillerCpuDemand(worker, task, nowMs) / worker.capacityMilli;
    demands.set(image, (demands.get(image) ?? 0) + share);
  }
  return demands;
}
