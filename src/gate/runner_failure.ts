/** A call to the runner that gave no result. */
export type RunnerFailure =
  /** Not done: the runner has seen a higher epoch. */
  | "fenced"
  | "old"
  | "late"
  | "no_room"
  | "ticket"
  | "unhealthy"
  | "other_life"
  | "rejected"
  /** The connection was refused: nobody listens. */
  | "refused"
  /** No answer: done, not done, or done later. */
  | "unknown";
