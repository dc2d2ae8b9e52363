/** When a job is expected to start and end, from now. */
export interface PredictedTimes {
  readonly startInMs: number;
  readonly endInMs: number;
}
