/** Faults that `/admin` sets in the runner stand-in. */
export interface RunnerFaults {
  /** Factor on the processing time of each request. */
  slowFactor: number;
  /** Share of answers that carry another request's id. */
  crossedRatio: number;
  /** Share of answers that are truncated. */
  truncatedRatio: number;
  /** Share of requests whose connection is reset after processing. */
  resetRatio: number;
}
