/** Why a task gave up its worker before its end. */
export type ReleaseReason =
  | "urgent_work"
  | "interference"
  | "worker_overfull"
  | "worker_leaving"
  | "cancelled"
  | "lease_lapsed"
  | "start_refused";
