import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";

/**
 * Returns the tasks that have to leave evacuated workers, in the order in which
 * they do: fillers with checkpoints, then tasks with checkpoints that would run
 * on for longer than `evacuateMs`, then services. All others end where they are;
 * so do gangs, since to move one task of a gang stops all of them.
 */
export function leavingOrder(
  workers: Iterable<Worker>,
  evacuateMs: number,
): Task[] {
  const fillers: Task[] = [];
  const tasks: Task[] = [];
  const services: Task[] = [];
  for (const worker of workers) {
    if (!worker.isEvacuated || !worker.isReconciled) continue;
    for (const task of worker.claims.values()) {
      if (task.claim?.phase !== "running") continue;
      const { isFiller, isGang, isService, savesProgress } =
        task.group.definition;
      if (isGang) continue;
      if (isService) services.push(task);
      else if (savesProgress && isFiller) fillers.push(task);
      else if (savesProgress && remainingMs(task) > evacuateMs) {
        tasks.push(task);
      }
    }
  }
  return [...fillers, ...tasks, ...services];
}

function remainingMs({ claim, group }: Task): number {
  const progress = (claim?.progressPercent ?? 0) / 100;
  return group.definition.expectedMs * (1 - progress);
}
