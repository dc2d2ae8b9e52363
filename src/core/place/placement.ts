import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { JobRow } from "../fold/job_row.ts";
import type { Resources } from "../../schema/resources.ts";

/** A task that needs a worker, and the workers with room for it. */
export interface Placement {
  readonly task: TaskRow;
  readonly job: JobRow;
  readonly reserved: Resources;
  readonly room: readonly WorkerRow[];
  /** What is in use on a worker, with claims that are not yet in the log. */
  readonly used: (worker: WorkerRow) => Resources;
  /** What the task is known to cost the service on a worker. */
  readonly penalty: (worker: WorkerRow) => number;
}
