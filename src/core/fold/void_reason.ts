/** Why a record is void: it is in the log but changes nothing. */
export type VoidReason =
  | "stale_epoch"
  | "not_candidate"
  | "duplicate"
  | "unknown_worker"
  | "unknown_task"
  | "unknown_job"
  | "wrong_attempt"
  | "not_allowed_now"
  | "not_selected"
  | "over_capacity"
  | "worker_in_use"
  | "term_over"
  | "not_an_image";
