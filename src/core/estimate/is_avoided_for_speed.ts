import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";

/** A probe without a checkpoint must be as short as this. */
const maxProbeMs = 1_500;

/**
 * Whether a task must not be placed on a worker because of the worker's speed.
 * A probe is short, or may move on with a checkpoint.
 */
export function isAvoidedForSpeed(task: Task, worker: Worker): boolean {
  if (worker.speed === "normal") return false;
  if (worker.speed === "slow") return true;
  const { isService, isGang, savesProgress, expectedMs } =
    task.group.definition;
  if (isService || isGang) return true;
  if (!savesProgress && expectedMs > maxProbeMs) return true;
  for (const { group } of worker.claims.values()) {
    if (!group.definition.isService) return true;
  }
  return false;
}
