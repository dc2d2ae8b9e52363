import type { PressureModel } from "../interfere/pressure_model.ts";
import type { Worker } from "./worker.ts";

/** The CPU that a worker's fillers request, and what other tasks leave them. */
interface FillerCpuBudget {
  readonly requestedMilli: number;
  readonly unusedMilli: number;
}

/**
 * Estimates the CPU that fillers share on a worker. A service with a latency
 * target uses its reservation times its load; other tasks use all they reserve.
 */
export function fillerCpuBudget(
  worker: Worker,
  pressure: PressureModel,
): FillerCpuBudget {
  let requestedMilli = 0;
  let usedMilli = 0;
  for (const { group } of worker.claims.values()) {
    const { isFiller, isService, resources, targetLatencyMs } =
      group.definition;
    const { cpuMilli } = resources;
    if (isFiller) requestedMilli += cpuMilli;
    else if (isService && targetLatencyMs > 0) {
      usedMilli += cpuMilli * pressure.callerLoadOf(group.job.definition.id);
    } else usedMilli += cpuMilli;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  return {
    requestedMilli,
    unusedMilli: Math.max(0, capacityMilli - usedMilli),
  };
}
