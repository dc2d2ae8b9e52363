import { isAvoidedForSpeed } from "../estimate/is_avoided_for_speed.ts";
import type { Queue } from "../jobs/queue.ts";
import { fits } from "../resources/fits.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import { countTasksOn } from "./count_tasks_on.ts";
import type { PlacementMode } from "./placement_mode.ts";
import { reservedResources } from "./reserved_resources.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Whether a worker serves a task's queue, suits the task and has room for it. */
export function hasCapacityFor(
  task: Task,
  queue: Queue,
  worker: Worker,
  nowMs: number,
  mode: PlacementMode,
): boolean {
  const { report } = worker;
  if (report === undefined || !worker.isReconciled) return false;
  if (worker.isEvacuated) return false;
  if (!report.isUp || report.isDraining || report.pool !== queue.pool) {
    return false;
  }
  if (mode === "strict" && nowMs < worker.suspendedUntilMs) return false;
  if (mode === "strict" && isAvoidedForSpeed(task, worker)) return false;
  const { definition } = task.group;
  const { label, mostPerWorker } = definition;
  if (label !== undefined && !report.labels.includes(label)) return false;
  if (mostPerWorker > 0 && countTasksOn(task.group, worker) >= mostPerWorker) {
    return false;
  }
  const room = definition.isFiller
    ? subtractResources(worker.free, worker.reserved)
    : worker.free;
  return fits(reservedResources(definition), room);
}
