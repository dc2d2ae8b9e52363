/** What happened according to the log and the runners. */
export interface AuditResult {
  /** Accepted jobs of which every task has ended. */
  readonly finished: number;
  /** Accepted jobs that are unknown to the log or not finished. */
  readonly lost: readonly string[];
  /** Tasks with more than one accepted `finished` record. */
  readonly finishedTwice: readonly string[];
  readonly evictions: number;
  readonly reclaims: number;
  readonly epochs: number;
  /** How often each marker ran, on all runners that still answer. */
  readonly ran: ReadonlyMap<string, number>;
}
