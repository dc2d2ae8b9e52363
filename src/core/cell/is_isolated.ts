import type { Task } from "./task.ts";

/** A task after this many crashes in a row is tried alone. */
const crashesToIsolate = 2;

/**
 * Whether a task is tried on a worker on which nothing else is starting, and
 * nothing else starts until its run has started up.
 */
export function isIsolated({ crashes }: Task): boolean {
  return crashes >= crashesToIsolate;
}
