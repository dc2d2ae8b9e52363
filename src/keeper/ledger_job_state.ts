/** The state of a job, derived from the states of its tasks. */
export type LedgerJobState =
  | "waiting"
  | "running"
  | "finished"
  | "failed"
  | "cancelled";
