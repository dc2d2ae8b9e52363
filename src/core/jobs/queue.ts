/** A queue as the configuration has it. */
export interface Queue {
  readonly name: string;
  /** The pool whose workers run its tasks. */
  readonly pool: string;
  /** 0 comes first. */
  readonly priority: number;
  /** How many times a task may fail. */
  readonly maxAttempts: number;
  /** The part of a job's objective that grows with its longest chain. */
  readonly stretch: number;
  readonly targetMs: number;
  /** Which workers may run a step is known to an advisor only. */
  readonly advice: AdviceTerms | undefined;
}

interface AdviceTerms {
  readonly decideMs: number;
  readonly perWorkerMs: number;
  readonly validMs: number;
}
