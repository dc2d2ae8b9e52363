/** One disturbance or submission of a random history. */
export interface HistoryStep {
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
  readonly a: number;
  readonly b: number;
}
