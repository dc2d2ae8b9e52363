/** The state of a job, derived from the states of its tasks. */
export type JobState =
  | "waiting"
  | "running"
  | "finished"
  | "failed"
  | "cancelled";
