import type { PressureModel } from "../interfere/pressure_model.ts";
import { fillerCpuDemand } from "./filler_cpu_demand.ts";
import type { Worker } from "./worker.ts";

/** The CPU that a worker's fillers demand, and what other tasks leave them. */
interface FillerCpuBudget {
  readonly demandedMilli: number;
  readonly unusedMilli: number;
}

/**
 * Estimates the CPU that fillers share on a worker. A service with a latency
 * target uses its reservation times its load; other tasks use all they reserve.
 */
export function fillerCpuBudget(
  worker: Worker,
  pressure: PressureModel,
  nowMs: number,
): FillerCpuBudget {
  let demandedMilli = 0;
  let usedMilli = 0;
  for (const task of worker.claims.values()) {
    const { group } = task;
    const { isFiller, isService, resources, targetLatencyMs } =
      group.definition;
    const { cpuMilli } = resources;
    if (isFiller) demandedMilli += fillerCpuDemand(worker, task, nowMs);
    else if (isService && targetLatencyMs > 0) {
      usedMilli += cpuMilli * pressure.callerLoadOf(group.job.definition.id);
    } else usedMilli += cpuMilli;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  return {
    demandedMilli,
    unusedMilli: Math.max(0, capacityMilli - usedMilli),
  };
}
