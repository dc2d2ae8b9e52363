/** What differs between the tasks, jobs and workers of a load. */
export interface UnevenLoad {
  /** The share of tasks that take `tailFactor` times the normal time. */
  readonly tailShare: number;
  readonly tailFactor: number;
  /** Whether each run is drawn anew, or all runs of a task take as long. */
  readonly isTailOfRun: boolean;
  /** Declared times are off by up to this factor, drawn for each step. */
  readonly declaredSpread: number;
  /** Declared times are off by up to this factor, the same for a program. */
  readonly declaredBias: number;
  /** The share of workers that are slow in each period. */
  readonly slowShare: number;
  readonly slowFactor: number;
  readonly slowForMs: number;
  readonly slowPeriodMs: number;
  /** The share of workers that fail what they start, at the same times. */
  readonly failingShare: number;
  /** The share of jobs of which every run fails; they earn nothing. */
  readonly doomedShare: number;
  readonly maxAttempts: number;
}
