/** When to act on a disturbance. Latencies are relative to the usual one. */
export interface InterferenceOptions {
  /** Relative latency from which a service counts as degraded. */
  readonly strainedRatio: number;
  /** Relative latency below which a service no longer counts as degraded. */
  readonly easedRatio: number;
  /** How long a service must be degraded before tasks are throttled. */
  readonly throttleAfterMs: number;
  /** How long throttling must have failed before tasks are moved. */
  readonly moveAfterMs: number;
  /** How long a service must not be degraded before throttling ends. */
  readonly recoverAfterMs: number;
  /** Share of its speed that a throttled task keeps. */
  readonly throttledShare: number;
  /** Slowdown from which a template and a service get separate workers. */
  readonly apartSlowdown: number;
}
