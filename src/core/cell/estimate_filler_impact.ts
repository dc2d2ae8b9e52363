import type { FillerView } from "./filler_view.ts";
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
  view: FillerView,
): FillerImpact {
  const { image = "", resources } = filler.group.definition;
  const { demands, services } = view.figuresOf(worker);
  const cpuShare = resources.cpuMilli / worker.capacityMilli;
  let excess = 0;
  let added = 0;
  for (const service of services) {
    const pressure = view.pressure.pressureOf(service.image, image);
    const fillerLoad = pressure * cpuShare;
    added += fillerLoad;
    if (fillerLoad < minAddedLoad) continue;
    let addedLoad = 0;
    let index = 0;
    for (const [other, demand] of demands) {
      const used = other === image ? demand + cpuShare : demand;
      addedLoad += service.pressures[index++]! * used;
    }
    if (!demands.has(image)) addedLoad += fillerLoad;
    const overLoad = service.callerLoad + addedLoad - service.targetLoad +
      loadHeadroom;
    excess = Math.max(excess, overLoad);
  }
  return { excess, added };
}
