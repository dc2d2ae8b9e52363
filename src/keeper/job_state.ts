/** How far a job has come. */
export type JobState =
  | "waiting"
  | "running"
  | "finished"
  | "failed"
  | "cancelled";
