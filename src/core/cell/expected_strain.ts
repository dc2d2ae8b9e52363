import type { PairPressure } from "../interfere/pair_pressure.ts";
import { fillerDemand } from "./filler_demand.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/**
 * The worst latency that the worker's services should come to, as a part of
 * their targets, with the filler beside them.
 */
export function expectedStrain(
  worker: Worker,
  filler: Task,
  pressure: PairPressure,
): number {
  const demand = fillerDemand(worker);
  const { image = "", resources } = filler.group.definition;
  const capacityMilli = Math.max(1, worker.report?.capacity.cpuMilli ?? 1);
  if (!worker.claims.has(filler.name)) {
    const part = resources.cpuMilli / capacityMilli;
    demand.set(image, (demand.get(image) ?? 0) + part);
  }
  let worst = 0;
  for (const task of worker.claims.values()) {
    const { isService, targetLatencyMs, image: service = "" } =
      task.group.definition;
    if (!isService || targetLatencyMs === 0) continue;
    worst = Math.max(worst, pressure.expect(service, demand));
  }
  return worst;
}
