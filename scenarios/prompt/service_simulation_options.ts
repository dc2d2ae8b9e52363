/** Size, load and faults of a simulated service. */
export interface ServiceSimulationOptions {
  readonly seed: number;
  readonly picker: "two-choices" | "round-robin" | "least-connections";
  readonly entries: number;
  readonly runners: number;
  /** Concurrent requests per runner. */
  readonly slots: number;
  /** Mean time that a runner works on a request. */
  readonly meanMs: number;
  /** Arrival rate relative to the capacity of all slots. */
  readonly load: number;
  readonly timeoutMs: number;
  /** How long requests arrive. */
  readonly lastsMs: number;
  /** How many runners take ten times as long. */
  readonly slowRunners: number;
  /** How many runners die halfway through the run. */
  readonly dyingRunners: number;
  /** The share of arrivals that one member sends. */
  readonly floodShare: number;
}
