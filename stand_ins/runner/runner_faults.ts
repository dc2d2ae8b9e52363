/** Faults that the runner stand-in can be told to show. */
export interface RunnerFaults {
  /** Each request takes this many times as long. */
  slowFactor: number;
  /** Share of answers that carry another request's id. */
  crossedRatio: number;
  /** Share of answers that are cut short. */
  truncatedRatio: number;
  /** Share of requests whose connection is reset after they ran. */
  resetRatio: number;
}
