import type { Cell } from "../cell/cell.ts";
import { reservedResources } from "../cell/reserved_resources.ts";
import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";
import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { noResources } from "../resources/no_resources.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import type { Resources } from "../../schema/resources.ts";

/**
 * Keeps new fillers from the capacity that services need which have to leave an
 * evacuated data centre. For each, the worker outside with the most CPU left is
 * reserved, of those that have room for it once their other tasks have ended.
 */
export function reserveForServices(
  { queues, workers }: Cell,
  leaving: readonly Task[],
): void {
  for (const worker of workers.values()) worker.reserved = noResources;
  const services = leaving.filter(({ group }) => group.definition.isService);
  if (services.length === 0) return;
  const rooms = [...workers.values()].filter(isOpen)
    .map((worker) => ({ worker, room: roomBesideServices(worker) }));
  for (const { group } of services) {
    const pool = queues.get(group.job.definition.queue)?.pool;
    const need = reservedResources(group.definition);
    let best: Worker | undefined;
    for (const { worker, room } of rooms) {
      if (worker.report?.pool !== pool) continue;
      if (!fits(need, subtractResources(room, worker.reserved))) continue;
      if (best === undefined || cpuLeft(worker) > cpuLeft(best)) best = worker;
    }
    if (best !== undefined) best.reserved = addResources(best.reserved, need);
  }
}

function isOpen({ isEvacuated, isReconciled, report }: Worker): boolean {
  return !isEvacuated && isReconciled && report !== undefined && report.isUp &&
    !report.isDraining;
}

/** What would be free if only services ran there. */
function roomBesideServices({ claims, report }: Worker): Resources {
  let room = report?.capacity ?? noResources;
  for (const { group: { definition } } of claims.values()) {
    if (!definition.isService) continue;
    room = subtractResources(room, reservedResources(definition));
  }
  return room;
}

function cpuLeft({ free, reserved }: Worker): number {
  return subtractResources(free, reserved).cpuMilli;
}
