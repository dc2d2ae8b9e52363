/** When to act against a disturbance. */
export interface InterferenceOptions {
  /** Latency over the usual one from which a service counts as strained. */
  readonly strainedRatio: number;
  /** Latency over the usual one below which it counts as eased. */
  readonly easedRatio: number;
  readonly throttleAfterMs: number;
  readonly moveAfterMs: number;
  /** How long a service must be at ease before throttles end. */
  readonly recoverAfterMs: number;
  /** Share of its speed that a throttled task keeps. */
  readonly throttledShare: number;
  /** Slowdown from which a pair is kept apart. */
  readonly apartSlowdown: number;
}
