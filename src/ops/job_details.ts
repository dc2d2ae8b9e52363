/** A job as shown to operators, from its definition and its progress row. */
export interface JobDetails {
  readonly id: string;
  readonly queue: string;
  readonly state: string;
  readonly receivedMs: number;
  readonly steps: readonly StepView[];
  /** The tasks that were started and are not done. */
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
  /** How many runs of it were started. */
  readonly runs: number;
  readonly failures: number;
  /** How many runs in a row may have crashed their worker. */
  readonly crashes: number;
  readonly checkpoint: string;
  /** The worker that its current run is claimed on, if any. */
  readonly worker: string | undefined;
}
