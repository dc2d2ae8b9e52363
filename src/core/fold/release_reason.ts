/** Why an attempt was stopped before its task ended. */
export type ReleaseReason =
  | "urgent_work"
  | "interference"
  | "worker_overfull"
  | "worker_leaving"
  | "cancelled"
  | "lease_lapsed"
  | "start_refused";
