/** How a cell decides about runs that take long. */
export interface CellOptions {
  /** A run without progress for this many times its expected time is stuck. */
  readonly stuckFactor: number;
  /** The shortest time without progress before a run counts as stuck. */
  readonly stuckMinMs: number;
  /** Learns run times instead of relying on the declared ones alone. */
  readonly learnsRunTimes?: boolean;
  /** Avoids workers on which everything runs slowly for some seconds. */
  readonly watchesSpeed?: boolean;
  /** Runs few tasks at once of a step that fails by its own fault. */
  readonly limitsAttempts?: boolean;
}
