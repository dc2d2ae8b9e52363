/** Durations that the lease rules use. */
export interface LeaseOptions {
  /** Duration of a lease, by the worker's clock. */
  readonly leaseMs: number;
  /** How long a read of the log's end lets the keeper grant leases. */
  readonly freshMs: number;
  /** How long a candidate does not campaign after a keep-alive. */
  readonly pledgeMs: number;
  /** Allowance for delays inside a process. */
  readonly marginMs: number;
  /** Largest relative difference between the rates of two clocks. */
  readonly driftRatio: number;
}
