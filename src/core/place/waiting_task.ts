import type { JobRow } from "../fold/job_row.ts";
import type { TaskRow } from "../fold/task_row.ts";

/** A waiting task with its job. */
export interface WaitingTask {
  readonly task: TaskRow;
  readonly job: JobRow;
}
