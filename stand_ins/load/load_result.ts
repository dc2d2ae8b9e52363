/** What callers got of a played load. */
export interface LoadResult {
  readonly plans: KindResult;
  readonly checks: KindResult;
  readonly services: ServiceResult;
  /** Work of fillers and checks that was lost, in core-seconds. */
  readonly wastedCoreS: number;
  /** Work to load checkpoints, in core-seconds. */
  readonly extraCoreS: number;
  /** Work of all tasks but services, in core-seconds; at full speed. */
  readonly workedCoreS: number;
  /** Runs stopped to be placed elsewhere. */
  readonly stops: number;
  /** By how much each completed plan ended later than predicted, in ms. */
  readonly forecastErrorsMs: readonly number[];
  /** What the callers of each party got of their plans. */
  readonly plansByParty: Readonly<Record<string, KindResult>>;
  /** Refusals while a tenth of the CPU was free. */
  readonly refusedWithFree: number;
  /** Runs of jobs that were refused. */
  readonly refusedRuns: number;
  /** Zero without an evacuation. */
  readonly evacuation: {
    /** From the request until no run was left in the data centre. */
    readonly clearedAfterMs: number;
    /** The runs left there 5 s after the request. */
    readonly leftAfter5s: number;
  };
}

/** How the jobs of a kind ended, relative to their objective. */
interface KindResult {
  readonly submitted: number;
  readonly inAim: number;
  readonly late: number;
  /** Never admitted. */
  readonly refused: number;
  /** Later than three times the objective, or not at all. */
  readonly failed: number;
  /** The share of the kind's worth, by work and lateness, that was earned. */
  readonly worth: number;
  readonly medianMs: number;
}

/** How the services fared, in seconds of one task. */
interface ServiceResult {
  readonly owedS: number;
  /** Not at work: waiting, starting or lost. */
  readonly awayS: number;
  /** At work, with a latency over the target. */
  readonly overTargetS: number;
  /** The same, in the worst 5 s. */
  readonly worstOverTargetS: number;
  /** The share of their worth that was earned; harm by fillers counts 4 times. */
  readonly worth: number;
}
