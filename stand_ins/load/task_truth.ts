/** What the model knows of a task that its definition does not say. */
export interface TaskTruth {
  readonly workMs: number;
  /** How many times longer it takes; 1 if undefined. */
  readonly timeFactor?: number;
  /** The work after which a run fails; undefined for runs that succeed. */
  readonly failsAfterMs?: number;
  /** The load by callers at a time, for a service. */
  readonly callerLoad: (nowMs: number) => number;
}
