import type { RunStatus } from "../jobs/run_status.ts";
import type { Cell } from "./cell.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** A run that was active for this long did not crash its worker by starting. */
const startupMs = 300;

/**
 * Ends the startup of a listed run that has been active for long enough: its
 * task is not what crashed the workers of earlier runs.
 */
export function settleRun(
  cell: Cell,
  worker: Worker,
  task: Task,
  { percent }: RunStatus,
  nowMs: number,
): void {
  const { claim, group } = task;
  if (claim?.isStartingUp !== true || claim.phase !== "running") return;
  if (nowMs - claim.phaseSinceMs < startupMs) return;
  const { isGang, isService } = group.definition;
  // The members of a gang do not work before all of them are present.
  if (isGang && percent === 0) return;
  worker.endStartup(task);
  // Otherwise a later keeper would take a service's run for one that starts.
  if (task.crashes > 0 || isService) cell.saveSoon(group.job);
  task.crashes = 0;
}
