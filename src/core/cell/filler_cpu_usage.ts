import type { Worker } from "./worker.ts";

/** The CPU used by a worker's fillers, by image, as shares of capacity. */
export function fillerCpuUsage(worker: Worker): Map<string, number> {
  const usage = new Map<string, number>();
  for (const task of worker.claims.values()) {
    const { isFiller, image = "" } = task.group.definition;
    const figure = worker.statuses.get(task.name)?.figure;
    if (!isFiller || figure === undefined) continue;
    usage.set(image, (usage.get(image) ?? 0) + figure / worker.capacityMilli);
  }
  return usage;
}
