import { isIsolated } from "./is_isolated.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/**
 * Whether a task may start beside the worker's runs: an isolated one starts
 * alone, so that only it can have caused a crash that follows. The members of a
 * gang may start together, since they belong to one job.
 */
export function mayStartBeside(
  task: Task,
  worker: Worker,
  nowMs: number,
): boolean {
  const { group } = task;
  const isOther = (other: Task) =>
    !group.definition.isGang || other.group !== group;
  if (worker.hasIsolatedStart && [...worker.startingSuspects].some(isOther)) {
    return false;
  }
  const mayUseQuiet = isIsolated(task) && worker.quiet?.group === group;
  if (worker.isQuiet(nowMs) && !mayUseQuiet) return false;
  if (!isIsolated(task)) return true;
  for (const other of worker.claims.values()) {
    if (other.claim?.isStartingUp && isOther(other)) return false;
  }
  return true;
}
