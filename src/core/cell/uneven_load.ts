/** What a cell does about uneven demand and workers. */
export interface UnevenLoad {
  /** Learns run times instead of relying on the declared ones alone. */
  readonly learnsRunTimes: boolean;
  /** Avoids workers on which everything runs slowly for some seconds. */
  readonly watchesSpeed: boolean;
  /** Runs few tasks at once of a step that fails by its own fault. */
  readonly limitsAttempts: boolean;
}
