import type { TaskRow } from "../fold/task_row.ts";

/** What the keeper intends for a task that is assigned to a worker. */
export interface TaskIntent {
  /** Whether it is to stop with a checkpoint. */
  readonly isStopping: (task: TaskRow) => boolean;
  /** Whether it is being reclaimed; its lease must not be renewed. */
  readonly isGivenUp: (task: TaskRow) => boolean;
  /** The fraction of full speed at which it may run. */
  readonly shareOf: (task: TaskRow) => number;
}
