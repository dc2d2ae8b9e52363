import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { PressureModel } from "../interfere/pressure_model.ts";
import { fillerCpuUsage } from "./filler_cpu_usage.ts";
import type { Worker } from "./worker.ts";

/** A service's figures are ignored this long, since its start affects them. */
const warmUpMs = 1_500;

/** Figures cover the last half second, so more frequent samples add nothing. */
const sampleIntervalMs = 300;

/**
 * Stores the status of a worker's runs and, at each sample interval, learns
 * from their figures; returns whether it did.
 */
export function sampleWorker(
  worker: Worker,
  runs: ReadonlyMap<TaskName, RunStatus>,
  pressure: PressureModel,
  nowMs: number,
): boolean {
  worker.statuses.clear();
  for (const task of worker.claims.values()) {
    const status = runs.get(task.name);
    if (status === undefined || status.run !== task.run) continue;
    worker.statuses.set(task.name, status);
  }
  if (nowMs - worker.sampledAtMs < sampleIntervalMs) return false;
  worker.sampledAtMs = nowMs;
  learnPressure(worker, pressure, nowMs);
  worker.fillerSensitivity = fillerSensitivityOf(worker, pressure);
  return true;
}

/**
 * The mean over all filler images of the most that each slows down one of the
 * worker's services, from 0 to 1.
 */
function fillerSensitivityOf(worker: Worker, pressure: PressureModel): number {
  const services = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, targetLatencyMs, image } = group.definition;
    if (isService && targetLatencyMs > 0) services.add(image ?? "");
  }
  let sum = 0;
  for (const filler of pressure.fillerImages) {
    let highest = 0;
    for (const service of services) {
      highest = Math.max(highest, pressure.pressureOf(service, filler));
    }
    sum += Math.min(1, highest);
  }
  return sum / Math.max(1, pressure.fillerImages.size);
}

function learnPressure(
  worker: Worker,
  pressure: PressureModel,
  nowMs: number,
): void {
  const usage = fillerCpuUsage(worker);
  for (const task of worker.claims.values()) {
    const { isService, image, targetLatencyMs } = task.group.definition;
    const status = worker.statuses.get(task.name);
    if (!isService || targetLatencyMs === 0 || status === undefined) continue;
    const { claim } = task;
    const isWarmingUp = claim === undefined ||
      nowMs - claim.phaseSinceMs < warmUpMs;
    if (isWarmingUp || status.figure <= 0) continue;
    const latencyShare = status.figure / targetLatencyMs;
    const job = task.group.job.definition.id;
    pressure.learn(image ?? "", job, latencyShare, usage);
  }
}
