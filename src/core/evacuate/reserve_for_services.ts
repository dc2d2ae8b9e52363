import type { Cell } from "../cell/cell.ts";
import { reservedResources } from "../cell/reserved_resources.ts";
import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";
import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { noResources } from "../resources/no_resources.ts";
import { subtractResources } from "../resources/subtract_resources.ts";

/**
 * Keeps new fillers from the capacity that services need which have to leave an
 * evacuated data centre: for each, the worker outside with the most CPU left is
 * reserved, even if what runs there has to end first.
 */
export function reserveForServices(
  { queues, workers }: Cell,
  leaving: readonly Task[],
): void {
  for (const worker of workers.values()) worker.reserved = noResources;
  for (const { group } of leaving) {
    if (!group.definition.isService) continue;
    const pool = queues.get(group.job.definition.queue)?.pool;
    const need = reservedResources(group.definition);
    let best: Worker | undefined;
    for (const worker of workers.values()) {
      const { isEvacuated, isReconciled, report } = worker;
      if (isEvacuated || !isReconciled || report?.pool !== pool) continue;
      if (!report?.isUp || report.isDraining) continue;
      if (!fits(need, report?.capacity ?? noResources)) continue;
      if (best === undefined || cpuLeft(worker) > cpuLeft(best)) best = worker;
    }
    if (best !== undefined) best.reserved = addResources(best.reserved, need);
  }
}

function cpuLeft({ free, reserved }: Worker): number {
  return subtractResources(free, reserved).cpuMilli;
}
