/** Why a task that has had its turn does not run. */
export const waitingReasons = [
  // Without a claim.
  "not_configured",
  "queue_unknown",
  "job_ended",
  "settling",
  "gang_incomplete",
  "attempts_limit",
  "begins_spent",
  "advice_queried",
  "advice_paused",
  "advice_rests",
  "advice_waits",
  "no_worker",
  "worker_found",
  // With a claim.
  "claim_unstored",
  "worker_unreported",
  "worker_left",
  "runner_down",
  "sidecar_unconnected",
  "worker_evacuated",
  "worker_draining",
  "start_unconfirmed",
  "stop_unconfirmed",
] as const;
