/** A queue of jobs, as configured. */
export interface Queue {
  readonly name: string;
  /** The pool whose workers run its tasks. */
  readonly pool: string;
  /** Queues with a lower number go first; 0 is the first. */
  readonly priority: number;
  /** A job fails once a task has failed this many times; services never do. */
  readonly maxAttempts: number;
  /**
   * A job's objective, the time in which it should end, is this times its
   * longest chain of steps, plus `targetMs`.
   */
  readonly stretch: number;
  readonly targetMs: number;
  /** Set if only an advisor knows which workers may run a step. */
  readonly advice: AdvisorTimes | undefined;
}

/** How long an advisor takes, in all and per worker, and its tickets last. */
interface AdvisorTimes {
  readonly decideMs: number;
  readonly perWorkerMs: number;
  readonly validMs: number;
}
