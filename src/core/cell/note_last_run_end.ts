import type { RunEnd } from "../jobs/run_end.ts";
import type { Task } from "./task.ts";

/**
 * Notes how a task's claimed run has ended. A run that has not begun interrupts
 * no wait, so it is left out.
 */
export function noteLastRunEnd(
  task: Task,
  { number, outcome }: RunEnd,
  nowMs: number,
): void {
  const { claim, run } = task;
  if (claim === undefined || task.isDone) return;
  if (number === 0 && !claim.hasBegun) return;
  task.lastRunEnd = { run, node: claim.node, outcome, atMs: nowMs };
}
