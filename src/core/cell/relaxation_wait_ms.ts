import type { Task } from "./task.ts";

/** A job that has waited without a run for this long is placed in relaxed mode. */
const maxIdleMs = 1_800;
/**
 * So is each task of a service after this, also beside runs of its job: longer
 * than a first suspension, which would otherwise have no effect on services.
 */
const maxServiceIdleMs = 5_000;

/**
 * How long until a waiting task is placed in relaxed mode; 0 if it is now,
 * infinite if its wait has not begun.
 */
export function relaxationWaitMs(task: Task, nowMs: number): number {
  const { definition, job } = task.group;
  const jobSinceMs = job.hasClaims ? Infinity : job.idleSinceMs ?? Infinity;
  const ownSinceMs = definition.isService
    ? task.idleSinceMs ?? Infinity
    : Infinity;
  const atMs = Math.min(
    jobSinceMs + maxIdleMs,
    ownSinceMs + maxServiceIdleMs,
  );
  return Math.max(0, atMs - nowMs);
}
