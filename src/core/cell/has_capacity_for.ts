import type { Queue } from "../jobs/queue.ts";
import { capacityObstacle } from "./capacity_obstacle.ts";
import type { PlacementMode } from "./placement_mode.ts";
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
  return capacityObstacle(task, queue, worker, nowMs, mode) === undefined;
}
