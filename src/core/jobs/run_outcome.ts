/** How a run of a task ended. */
export type RunOutcome =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The other members of the gang did not come in time. */
  | "alone";
