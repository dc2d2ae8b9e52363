import type { StartRefusal } from "../core/cell/start_refusal.ts";

/**
 * Why a call to the runner failed. Only the gate refuses with `draining` and
 * `evacuated`.
 */
export type RunnerFailure =
  | Exclude<StartRefusal, "draining" | "evacuated">
  /** No effect: the runner has seen a higher epoch. */
  | "fenced"
  /** No effect: the connection was refused, since nothing listens. */
  | "refused"
  /** No effect: no connection was opened, for another reason or in time. */
  | "unreached"
  /** No answer: the call may have taken effect, or may do so later. */
  | "unknown";
