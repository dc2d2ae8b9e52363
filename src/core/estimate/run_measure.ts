/** What the reports on one run show of its speed. */
export interface RunMeasure {
  /** The progress at the first report, in percent. */
  readonly firstPercent: number;
  percent: number;
  /**
   * The time since the first report; for a filler, as it would be with all the
   * CPU that it requests.
   */
  workedMs: number;
  /** When it was last reported, by the keeper's monotonic clock. */
  atMs: number;
  /** The share of the requested CPU that it last used. */
  cpuShare: number;
}
