import type { Worker } from "./worker.ts";

/** The CPU requested by a worker's fillers, by image, as shares of capacity. */
export function fillerCpuRequests(worker: Worker): Map<string, number> {
  const requests = new Map<string, number>();
  for (const task of worker.claims.values()) {
    const { isFiller, image = "", resources } = task.group.definition;
    if (!isFiller) continue;
    const cpuShare = resources.cpuMilli / worker.capacityMilli;
    requests.set(image, (requests.get(image) ?? 0) + cpuShare);
  }
  return requests;
}
