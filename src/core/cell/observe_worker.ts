import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { Worker } from "./worker.ts";

/** How much a new report weighs in what services are taken to use. */
const loadWeight = 0.2;
const leastLoad = 0.3;
const mostLoad = 1;
/** Fillers that get less than this part of what they ask for are short. */
const shortShare = 0.9;

/** Takes in what a worker's runs are doing. */
export function observeWorker(
  worker: Worker,
  runs: ReadonlyMap<TaskName, RunStatus>,
): void {
  worker.statuses.clear();
  let askedMilli = 0;
  let fillerMilli = 0;
  let plainMilli = 0;
  let serviceMilli = 0;
  for (const task of worker.claims.values()) {
    const status = runs.get(task.name);
    if (status === undefined || status.run !== task.run) continue;
    worker.statuses.set(task.name, status);
    const { isFiller, isService, resources } = task.group.definition;
    if (isService) serviceMilli += resources.cpuMilli;
    else if (isFiller) {
      askedMilli += resources.cpuMilli * status.percent / 100;
      fillerMilli += status.figure;
    } else plainMilli += status.figure;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  if (serviceMilli === 0 || askedMilli === 0) return;
  const leftMilli = capacityMilli - plainMilli - fillerMilli;
  const isShort = fillerMilli < askedMilli * shortShare;
  const load = leftMilli / serviceMilli;
  if (!isShort && load >= worker.serviceLoad) return;
  const bounded = Math.min(mostLoad, Math.max(leastLoad, load));
  worker.serviceLoad += (bounded - worker.serviceLoad) * loadWeight;
}
