/** Times that the lease rules depend on. */
export interface LeaseOptions {
  /** Length of a task's lease. */
  readonly leaseMs: number;
  /** How old the keeper's last read of the log's end may be. */
  readonly freshMs: number;
  /** How long a candidate holds back after a keep-alive. */
  readonly pledgeMs: number;
  /** Allowance for delays inside a process. */
  readonly marginMs: number;
  /** Largest relative error between two clocks' rates. */
  readonly driftRatio: number;
}
