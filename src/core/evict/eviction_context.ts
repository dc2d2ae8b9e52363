import type { Resources } from "../../schema/resources.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";

/** Evictions already in progress, and the room that they free. */
export interface EvictionContext {
  /** Whether the task has been asked to stop. */
  readonly isLeaving: (task: TaskRow) => boolean;
  /** Room on the worker that is being freed for other tasks. */
  readonly preemptedRoom: (worker: WorkerRow) => Resources;
}
