/** What a run holds until it ends. */
export interface RunningWork {
  readonly cpuMilli: number;
  /** By its progress and expected time, at its present speed. */
  readonly remainingMs: number;
}
