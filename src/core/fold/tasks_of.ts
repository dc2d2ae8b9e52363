import type { TaskId } from "../../schema/task_id.ts";
import type { CellLedger } from "./cell_ledger.ts";
import type { JobRow } from "./job_row.ts";
import type { TaskRow } from "./task_row.ts";

/** Yields the tasks of a job in the order of their index. */
export function* tasksOf(
  ledger: CellLedger,
  row: JobRow,
): Generator<TaskRow> {
  for (let index = 0; index < row.job.tasks; index++) {
    const task = ledger.tasks.get(`${row.job.id}/${index}` as TaskId);
    if (task !== undefined) yield task;
  }
}
