import type { Resources } from "../../schema/resources.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";

/** What is already being done to make room. */
export interface EvictionView {
  /** Whether the task has been asked to stop. */
  readonly isLeaving: (task: TaskRow) => boolean;
  /** Room on the worker that is kept for others. */
  readonly promised: (worker: WorkerRow) => Resources;
}
