import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { PairPressure } from "../interfere/pair_pressure.ts";
import { fillerUse } from "./filler_use.ts";
import type { Worker } from "./worker.ts";

/** How much a new report weighs in what services are taken to use. */
const loadWeight = 0.2;
const leastLoad = 0.3;
const mostLoad = 0.85;
/**
 * Fillers that get less than this part of what they ask for are short. What
 * tasks ask for is off by a good part, so few of them say nothing.
 */
const shortShare = 0.6;
const fewestFillers = 3;
/** A service's first figures tell of its start. */
const settleMs = 1_500;

/** Figures are of the last half second, so that more samples say no more. */
const observeEveryMs = 300;

/** Takes in what a worker's runs are doing; tells whether it is news. */
export function observeWorker(
  worker: Worker,
  runs: ReadonlyMap<TaskName, RunStatus>,
  pressure: PairPressure,
  nowMs: number,
): boolean {
  worker.statuses.clear();
  let askedMilli = 0;
  let fillerMilli = 0;
  let fillers = 0;
  let plainMilli = 0;
  let serviceMilli = 0;
  for (const task of worker.claims.values()) {
    const status = runs.get(task.name);
    if (status === undefined || status.run !== task.run) continue;
    worker.statuses.set(task.name, status);
    const { isFiller, isService, resources } = task.group.definition;
    if (isService) serviceMilli += resources.cpuMilli;
    else if (isFiller) {
      askedMilli += resources.cpuMilli;
      fillerMilli += status.figure;
      fillers += 1;
    } else plainMilli += status.figure;
  }
  if (nowMs - worker.observedAtMs < observeEveryMs) return false;
  worker.observedAtMs = nowMs;
  learnPressure(worker, pressure, nowMs);
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  if (serviceMilli === 0 || askedMilli === 0) return true;
  const leftMilli = capacityMilli - plainMilli - fillerMilli;
  const isShort = fillers >= fewestFillers &&
    fillerMilli < askedMilli * shortShare;
  const load = leftMilli / serviceMilli;
  if (!isShort && load >= worker.serviceLoad) return true;
  const bounded = Math.min(mostLoad, Math.max(leastLoad, load));
  worker.serviceLoad += (bounded - worker.serviceLoad) * loadWeight;
  return true;
}

function learnPressure(
  worker: Worker,
  pressure: PairPressure,
  nowMs: number,
): void {
  const use = fillerUse(worker);
  for (const task of worker.claims.values()) {
    const { isService, image, targetLatencyMs } = task.group.definition;
    const status = worker.statuses.get(task.name);
    if (!isService || targetLatencyMs === 0 || status === undefined) continue;
    const { claim } = task;
    const isFresh = claim === undefined || nowMs - claim.sinceMs < settleMs;
    if (isFresh || status.figure <= 0) continue;
    const part = status.figure / targetLatencyMs;
    const job = task.group.job.definition.id;
    pressure.learn(image ?? "", job, part, use);
  }
}
