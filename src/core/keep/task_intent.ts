import type { TaskRow } from "../fold/task_row.ts";

/** What the keeper means to do with a task that holds a worker. */
export interface TaskIntent {
  /** It is to leave its worker with a checkpoint. */
  readonly isStopping: (task: TaskRow) => boolean;
  /** Its reclaim is under way; it must get no lease any more. */
  readonly isGivenUp: (task: TaskRow) => boolean;
  /** The part of its full speed at which it may run. */
  readonly shareOf: (task: TaskRow) => number;
}
