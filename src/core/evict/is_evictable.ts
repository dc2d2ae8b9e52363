import type { CellLedger } from "../fold/cell_ledger.ts";
import type { TaskRow } from "../fold/task_row.ts";

/** Whether a task is running batch work below its job's cap on evictions. */
export function isEvictable(ledger: CellLedger, task: TaskRow): boolean {
  const job = ledger.jobs.get(task.job);
  if (job === undefined || job.job.urgent) return false;
  return task.state === "claimed" && task.evictions < job.job.maxEvictions;
}
