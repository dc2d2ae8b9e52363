/** How a run of a task ended. */
export type RunOutcome =
  | "done"
  | "failed"
  | "stopped"
  /** The run ended with its lease or with its runner's life. */
  | "lapsed"
  /** Another task of the gang ended. */
  | "broken"
  /** The other tasks of the gang did not start in time. */
  | "alone";
