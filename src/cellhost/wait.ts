import type { Task } from "../core/cell/task.ts";
import type { WaitingExplanation } from "../core/cell/waiting_explanation.ts";

/** A task that does not run, or the tasks of a group that wait for workers. */
export interface Wait {
  /** The task; of a group, the first one that was found. */
  task: Task;
  /** Whether it stands for all tasks of its group that have no claim. */
  readonly isOfGroup: boolean;
  /** Since when, by the keeper's monotonic clock. */
  readonly sinceMs: number;
  /** Some more waiting tasks of the group. */
  others: readonly Task[];
  explanation: WaitingExplanation | undefined;
  explainedAtMs: number;
  /** What was last logged of it, and when. */
  logged: { readonly key: string; readonly atMs: number } | undefined;
}
