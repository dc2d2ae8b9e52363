/** One step of a random history: a fault, a repair, or a caller's request. */
export interface HistoryStep {
  /** Delay since the step before. */
  readonly afterMs: number;
  readonly kind:
    | "submit"
    | "urgent"
    | "cancel"
    | "kill_peer"
    | "restart_peer"
    | "pause_peer"
    | "kill_worker"
    | "restart_worker"
    | "pause_worker"
    | "cut_log"
    | "cut_worker"
    | "cut_peers"
    | "heal"
    | "log_down"
    | "log_up"
    | "lose_answers"
    | "lossy"
    | "fail_all";
  /** Random numbers below 1000 that choose the step's targets and sizes. */
  readonly a: number;
  readonly b: number;
}
