import type { Task } from "../core/cell/task.ts";
import type { WaitingExplanation } from "../core/cell/waiting_explanation.ts";

/** A task that does not run, or the tasks of a group that wait for workers. */
export interface Wait {
  /** The task; the first one that was found of a group. */
  task: Task;
  /** Whether it stands for all tasks of its group that have no claim. */
  readonly isOfGroup: boolean;
  /** Since when, by the keeper's monotonic clock. */
  readonly sinceMs: number;
  /** More tasks of the group; some of them. */
  others: readonly Task[];
  explanation: WaitingExplanation | undefined;
  /** What was last logged of it, and when. */
  logged: { readonly key: string; readonly atMs: number } | undefined;
}
