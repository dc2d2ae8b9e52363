/** The state of a job, as reported to callers. */
export type JobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
