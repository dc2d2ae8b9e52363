/** A job as an operator sees it: from its definition and its keeper's row. */
export interface JobView {
  readonly id: string;
  readonly queue: string;
  readonly state: string;
  readonly receivedMs: number;
  readonly steps: readonly StepView[];
  /** The tasks that a worker holds or held last. */
  readonly tasks: readonly TaskView[];
}

interface StepView {
  readonly occurrence: number;
  readonly step: number;
  readonly count: number;
  readonly done: number;
  readonly claimed: number;
}

interface TaskView {
  readonly task: string;
  /** How many times it was started. */
  readonly runs: number;
  readonly failures: number;
  readonly checkpoint: string;
  /** Where it is claimed, if it is. */
  readonly worker: string | undefined;
}
