import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { JobRow } from "../fold/job_row.ts";
import type { Resources } from "../../schema/resources.ts";

/** A task to place, and the workers that it may be placed on. */
export interface PlacementRequest {
  readonly task: TaskRow;
  readonly job: JobRow;
  readonly reserved: Resources;
  /** Workers that the task selects and that have room for it. */
  readonly room: readonly WorkerRow[];
  /** What is in use on a worker, including claims not yet in the log. */
  readonly used: (worker: WorkerRow) => Resources;
  /** Expected slowdown of the service on a worker by this task. */
  readonly penalty: (worker: WorkerRow) => number;
}
