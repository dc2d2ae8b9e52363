/** An event that changes the state of a task; see task_life.json. */
export type TaskEvent =
  | "CLAIM"
  | "RELEASE"
  | "RECLAIM"
  | "FAIL"
  | "FINISH"
  | "GIVE_UP"
  | "CANCEL";
