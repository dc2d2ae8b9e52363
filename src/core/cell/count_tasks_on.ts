import type { TaskGroup } from "./task_group.ts";
import type { Worker } from "./worker.ts";

/** Counts the tasks of a group that a worker holds. */
export function countTasksOn(group: TaskGroup, worker: Worker): number {
  let count = 0;
  for (const { claim } of group.tasks) {
    if (claim?.node === worker.node) count += 1;
  }
  return count;
}
