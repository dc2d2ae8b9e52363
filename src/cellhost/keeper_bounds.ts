/** Limits of the platform that keepers and sidecars work within. */
export interface KeeperBounds {
  /** The longest lease that a runner may be granted. */
  readonly maxHoldMs: number;
  /**
   * How long after an evacuation was requested runs may still be started in the
   * data centre. Undefined if the deployment evacuates none.
   */
  readonly evacuateMs?: number | undefined;
}
