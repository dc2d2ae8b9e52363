import type { Cell } from "../cell/cell.ts";
import type { Task } from "../cell/task.ts";
import type { TaskGroup } from "../cell/task_group.ts";

const readyPercent = 100;

/**
 * Whether one more task of a service may be taken away: at most `mostAway` are
 * away at a time, or one if the step does not say. Whoever took a task away, it
 * counts until its run reports that it is ready; so a new keeper does not count
 * too few.
 */
export function mayServiceLeave(cell: Cell, group: TaskGroup): boolean {
  const mostAway = Math.max(1, group.definition.mostAway);
  let away = 0;
  for (const task of group.tasks) {
    if (!task.isDone && !isServing(cell, task)) away += 1;
  }
  return away < mostAway;
}

function isServing(cell: Cell, { claim, name }: Task): boolean {
  if (claim?.phase !== "running") return false;
  const worker = cell.worker(claim.node);
  const percent = worker.statuses.get(name)?.percent ?? 0;
  return worker.isReconciled && percent >= readyPercent;
}
