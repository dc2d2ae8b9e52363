import { isIsolated } from "./is_isolated.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";
import type { WorkerObstacle } from "./worker_obstacle.ts";

/**
 * Why a task may not start beside the worker's runs, if so: an isolated one
 * starts alone, so that only it can have caused a crash that follows. The
 * members of a gang may start together, since they belong to one job.
 */
export function startObstacle(
  task: Task,
  worker: Worker,
  nowMs: number,
): WorkerObstacle | undefined {
  if (worker.isBusyStarting) return "starts_pending";
  const { group } = task;
  const isOther = (other: Task) =>
    !group.definition.isGang || other.group !== group;
  if (worker.hasIsolatedStart && [...worker.startingSuspects].some(isOther)) {
    return "isolated_start";
  }
  const mayUseQuiet = isIsolated(task) && worker.quiet?.group === group;
  if (worker.isQuiet(nowMs) && !mayUseQuiet) return "reserved_quiet";
  if (!isIsolated(task)) return undefined;
  for (const other of worker.claims.values()) {
    if (other.claim?.isStartingUp && isOther(other)) return "others_starting";
  }
  return undefined;
}
