import { runKey } from "../jobs/run_key.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { Cell } from "./cell.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/**
 * Ends the startup of a listed run, unless its sidecar says that it may still
 * crash the worker by starting: its task is not what crashed earlier ones.
 */
export function settleRun(
  cell: Cell,
  worker: Worker,
  task: Task,
  { percent }: RunStatus,
): void {
  const { claim, group, name, run } = task;
  if (claim?.isStartingUp !== true || claim.phase !== "running") return;
  const key = runKey({ task: name, run });
  if (worker.report?.startingUp?.includes(key)) return;
  // The members of a gang do not work before all of them are present.
  if (group.definition.isGang && percent === 0) return;
  worker.endStartup(task);
  if (task.crashes === 0) return;
  task.crashes = 0;
  cell.saveSoon(group.job);
}
