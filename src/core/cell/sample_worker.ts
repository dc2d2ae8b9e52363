import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { PressureModel } from "../interfere/pressure_model.ts";
import { fillerCpuUsage } from "./filler_cpu_usage.ts";
import type { Worker } from "./worker.ts";

/** How long after its start a service's latency is ignored as untypical. */
const warmUpMs = 1_500;

/**
 * Runners report latency and CPU use over the last half second, so much more
 * frequent samples would repeat the same data.
 */
const sampleIntervalMs = 300;

/**
 * Stores the statuses of a worker's claimed runs and, once per sample interval,
 * learns from them how fillers slow down services. Returns whether it learned.
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
 * Returns the mean over all filler images of each one's highest pressure on one
 * of the worker's services, capped at 1.
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
    const latencyRatio = status.figure / targetLatencyMs;
    const job = task.group.job.definition.id;
    pressure.learn(image ?? "", job, latencyRatio, usage);
  }
}
