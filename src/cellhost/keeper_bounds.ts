/** Limits of the platform that keepers and sidecars work within. */
export interface KeeperBounds {
  /** The longest lease that a runner may be granted. */
  readonly maxHoldMs: number;
}
