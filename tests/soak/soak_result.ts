export interface SoakResult {
  /** The violated guarantees, one line each. */
  readonly broken: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  /** The injected faults, with the time at which each ended. */
  readonly notes: readonly string[];
  /** Settings and logs of the processes. */
  readonly folder: string;
}
