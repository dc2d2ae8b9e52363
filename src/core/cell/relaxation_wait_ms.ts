import type { Task } from "./task.ts";

/** What has waited without a run for this long is placed in relaxed mode. */
const maxIdleMs = 1_800;

/**
 * How long until a waiting task is placed in relaxed mode; 0 if it is now,
 * infinite if its wait has not begun. Each task of a service is to run, so each
 * is relaxed by its own wait; other tasks only if their job has no run.
 */
export function relaxationWaitMs(task: Task, nowMs: number): number {
  const { definition, job } = task.group;
  const { idleSinceMs } = definition.isService ? task : job;
  if (idleSinceMs === undefined) return Infinity;
  if (!definition.isService && job.hasClaims) return Infinity;
  return Math.max(0, idleSinceMs + maxIdleMs - nowMs);
}
