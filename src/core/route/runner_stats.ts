/** What an entry has measured of one runner, and what the runner reported. */
export interface RunnerStats {
  /** Requests of this entry that the runner has not answered. */
  inFlight: number;
  /** Requests of other entries, by the newest reported load. */
  othersLoad: number;
  loadReportedAtMs: number;
  /** Smoothed latency of its answers. */
  latencyMs: number;
  lastAnswerAtMs: number;
  /** Consecutive failures. */
  failures: number;
  ejectedUntilMs: number;
  firstSeenAtMs: number;
}
