/** What an entry has measured and been told of one runner. */
export interface RunnerStats {
  inFlight: number;
  /** Load that others put on it, by its newest answer. */
  othersLoad: number;
  toldAtMs: number;
  /** Smoothed latency of its answers. */
  latencyMs: number;
  answeredAtMs: number;
  failures: number;
  ejectedUntilMs: number;
  firstSeenAtMs: number;
}
