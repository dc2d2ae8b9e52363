/** How a job stands. */
export type JobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
