/** The state of a task; transitions are in task_life.json. */
export type TaskState =
  | "waiting"
  | "claimed"
  | "cancelling"
  | "finished"
  | "failed"
  | "cancelled";
