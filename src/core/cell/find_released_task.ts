import type { RunEnd } from "../jobs/run_end.ts";
import type { Cell } from "./cell.ts";
import type { Task } from "./task.ts";

/**
 * The task of a run that was done after its claim had been released, unless a
 * later run is claimed already: its work need not be done again.
 */
export function findReleasedTask(
  cell: Cell,
  { task: name, run, outcome }: RunEnd,
): Task | undefined {
  const task = outcome === "done" ? cell.task(name) : undefined;
  const isWaiting = task?.run === run && task.claim === undefined;
  return isWaiting && !task.isDone ? task : undefined;
}
