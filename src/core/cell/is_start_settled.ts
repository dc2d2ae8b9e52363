import type { Task } from "./task.ts";

/**
 * Whether the start of a task's run is certainly not under way: it never left, or
 * the life that it was meant for has listed the run.
 */
export function isStartSettled({ claim }: Task): boolean {
  return claim === undefined || claim.isListed || !claim.isOrdered;
}
