import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { PairPressure } from "../interfere/pair_pressure.ts";
import { fillerUse } from "./filler_use.ts";
import type { Worker } from "./worker.ts";

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
  for (const task of worker.claims.values()) {
    const status = runs.get(task.name);
    if (status === undefined || status.run !== task.run) continue;
    worker.statuses.set(task.name, status);
  }
  if (nowMs - worker.observedAtMs < observeEveryMs) return false;
  worker.observedAtMs = nowMs;
  learnPressure(worker, pressure, nowMs);
  worker.closedness = closednessOf(worker, pressure);
  return true;
}

/** The mean over the filler images of how much each presses, at most 1. */
function closednessOf(worker: Worker, pressure: PairPressure): number {
  const services = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, targetLatencyMs, image } = group.definition;
    if (isService && targetLatencyMs > 0) services.add(image ?? "");
  }
  let sum = 0;
  for (const filler of pressure.fillers) {
    let most = 0;
    for (const service of services) {
      most = Math.max(most, pressure.of(service, filler));
    }
    sum += Math.min(1, most);
  }
  return sum / Math.max(1, pressure.fillers.size);
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
