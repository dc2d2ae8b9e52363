/** Where a task stands in its life; see task_life.json. */
export type TaskState =
  | "waiting"
  | "claimed"
  | "cancelling"
  | "finished"
  | "failed"
  | "cancelled";
