/** One step of a history: a call, a fault or the end of one. */
export interface HistoryStep {
  readonly afterMs: number;
  readonly kind: (typeof kinds)[number];
  /** Numbers below 1,000 that choose what the step concerns. */
  readonly a: number;
  readonly b: number;
}

const kinds = [
  "submit",
  "submit_wide",
  "submit_chain",
  "cancel",
  "elect",
  "pause_keeper",
  "kill_keeper",
  "restart_sidecar",
  "pause_sidecar",
  "restart_runner",
  "silence_runner",
  "cut_link",
  "reset_link",
  "lose_commands",
  "cut_store",
  "lose_appends",
  "drain",
  "fail_task",
  "evacuate",
  "suspend_keeper",
  "submit_long",
  "submit_crashing",
  "resize",
  "submit_service",
  "leave_runner",
  "kill_keeper_at",
  "submit_lasting",
  "return_runner",
  "cut_off_runner",
] as const;
