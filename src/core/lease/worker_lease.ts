/** What a keeper knows of the leases that it granted on one worker. */
export interface WorkerLease {
  bootId: string;
  /** The worker's clock in its newest report. */
  clockMs: number;
  /** When that report came in, by the keeper's clock. */
  reportedAtMs: number;
  /** After this, every lease granted here has lapsed for certain. */
  lapsedByMs: number;
}
