/** The faults of one test case, in the format of the stand-ins' admin paths. */
export interface FaultCase {
  readonly name: string;
  /** Of the connections between sidecars and runners. */
  readonly runnerProxy?: Record<string, unknown>;
  /** Of the connections between entries and sidecars. */
  readonly sidecarProxy?: Record<string, unknown>;
  /** Of the runners themselves. */
  readonly runner?: Record<string, unknown>;
}
