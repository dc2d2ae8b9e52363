import { isAvoidedForSpeed } from "../estimate/is_avoided_for_speed.ts";
import type { Queue } from "../jobs/queue.ts";
import { fits } from "../resources/fits.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import type { PlacementMode } from "./placement_mode.ts";
import { reservedResources } from "./reserved_resources.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";
import type { WorkerObstacle } from "./worker_obstacle.ts";

/**
 * Why a worker does not serve a task's queue, does not suit the task or has no
 * room for it: the first reason, or undefined if there is none.
 */
export function capacityObstacle(
  task: Task,
  queue: Queue,
  worker: Worker,
  nowMs: number,
  mode: PlacementMode,
): WorkerObstacle | undefined {
  const { report } = worker;
  if (report === undefined) return "not_reporting";
  if (report.pool !== queue.pool) return "other_pool";
  if (!report.isUp) return "down";
  if (!worker.isReconciled) return "not_reporting";
  if (report.isDraining) return "draining";
  if (worker.isEvacuated) return "evacuated";
  if (mode === "strict" && nowMs < worker.suspendedUntilMs) return "suspended";
  if (mode === "strict" && isAvoidedForSpeed(task, worker)) {
    return "avoided_for_speed";
  }
  const { definition } = task.group;
  const { label, mostPerWorker } = definition;
  if (label !== undefined && !report.labels.includes(label)) return "label";
  if (mostPerWorker > 0 && worker.countOf(task.group) >= mostPerWorker) {
    return "too_many_of_step";
  }
  const room = definition.isFiller
    ? subtractResources(worker.free, worker.reserved)
    : worker.free;
  return fits(reservedResources(definition), room) ? undefined : "no_room";
}
