/** What a keeper knows of the leases that it granted to one worker. */
export interface WorkerLease {
  bootId: string;
  /** The worker's clock in its newest report. */
  clockMs: number;
  /** When that report was received, by the keeper's clock. */
  reportedAtMs: number;
  /** After this time, by the keeper's clock, all its leases have lapsed. */
  lapsedByMs: number;
}
