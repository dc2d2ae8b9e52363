import { startObstacle } from "./start_obstacle.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Whether a task may start beside the worker's runs; see `startObstacle`. */
export function mayStartBeside(
  task: Task,
  worker: Worker,
  nowMs: number,
): boolean {
  return startObstacle(task, worker, nowMs) === undefined;
}
