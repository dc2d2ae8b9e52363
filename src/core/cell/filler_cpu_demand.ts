import { settledAfterMs } from "./settled_after_ms.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** The share of its request that a settled run is expected to use in addition. */
const growthShare = 0.1;

/**
 * The CPU that a worker must expect a filler to use, in millicores: what it
 * requests, or, once it has settled, little more than it uses. So fillers that
 * are paced down leave their CPU to others that disturb no service.
 */
export function fillerCpuDemand(
  worker: Worker,
  task: Task,
  nowMs: number,
): number {
  const { cpuMilli } = task.group.definition.resources;
  const { claim } = task;
  const used = worker.statuses.get(task.name)?.figure;
  const isSettled = claim?.phase === "running" &&
    nowMs - claim.phaseSinceMs >= settledAfterMs;
  if (used === undefined || !isSettled) return cpuMilli;
  return Math.min(cpuMilli, used + growthShare * cpuMilli);
}
