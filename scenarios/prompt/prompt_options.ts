/** The size and the load of a service on virtual time. */
export interface PromptOptions {
  readonly seed: number;
  readonly picker: "two-choices" | "round-robin" | "least-connections";
  readonly entries: number;
  readonly runners: number;
  readonly slots: number;
  readonly meanMs: number;
  /** Arrivals as a share of what all slots can do. */
  readonly load: number;
  readonly timeoutMs: number;
  readonly lastsMs: number;
  /** How many runners take ten times as long. */
  readonly slowRunners: number;
  /** How many runners die halfway. */
  readonly dyingRunners: number;
  /** The share of arrivals that one member sends. */
  readonly floodShare: number;
}
