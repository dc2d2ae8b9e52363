import type { PressureModel } from "../interfere/pressure_model.ts";
import { fillerCpuDemands } from "./filler_cpu_demands.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Load kept free below the load at which a service reaches its target. */
const loadHeadroom = 0.06;

/** A service's overload counts only if the filler adds this load to it. */
const minAddedLoad = 0.01;

/** How one more filler would affect a worker's services. */
interface FillerImpact {
  /**
   * The most by which a service that the filler affects would exceed its target
   * load less the headroom; 0 if none would.
   */
  readonly excess: number;
  /** The sum of the loads that the filler adds to the services. */
  readonly added: number;
}

/** Estimates the impact of a filler at full pace on the worker's services. */
export function estimateFillerImpact(
  worker: Worker,
  filler: Task,
  pressure: PressureModel,
  nowMs: number,
): FillerImpact {
  const { image = "", resources } = filler.group.definition;
  const demands = fillerCpuDemands(worker, nowMs);
  const cpuShare = resources.cpuMilli / worker.capacityMilli;
  demands.set(image, (demands.get(image) ?? 0) + cpuShare);
  let excess = 0;
  let added = 0;
  for (const { group } of worker.claims.values()) {
    const { isService, targetLatencyMs, image: service = "" } =
      group.definition;
    if (!isService || targetLatencyMs === 0) continue;
    const fillerLoad = pressure.pressureOf(service, image) * cpuShare;
    added += fillerLoad;
    const load = pressure.expectedLoad(
      service,
      group.job.definition.id,
      demands,
    );
    const overLoad = load - pressure.targetLoadOf(service) + loadHeadroom;
    if (fillerLoad >= minAddedLoad) excess = Math.max(excess, overLoad);
  }
  return { excess, added };
}
