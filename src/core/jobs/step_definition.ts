import type { Resources } from "../../schema/resources.ts";

/** One step of a job: a number of identical tasks. */
export interface StepDefinition {
  readonly count: number;
  /** What each task reserves. */
  readonly resources: Resources;
  /** The estimated duration of a task. */
  readonly expectedMs: number;
  /** Indexes of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** The tasks write checkpoints, from which a later run resumes. */
  readonly savesProgress: boolean;
  /** The tasks must all run at the same time. */
  readonly isGang: boolean;
  /** The tasks are slower when they are spread over racks. */
  readonly sameRack: boolean;
  /** A label that the worker must have. */
  readonly label: string | undefined;
  /** The rack that holds the tasks' data. */
  readonly dataRack: string | undefined;
  /** How many tasks of one occurrence may share a worker; 0 for any number. */
  readonly mostPerWorker: number;
  /** Several runs of a task may be active at once. */
  readonly isSpeculative: boolean;
  /** The tasks serve requests until the job is cancelled. */
  readonly isService: boolean;
  /** The program that the tasks run; tasks of one image behave alike. */
  readonly image: string | undefined;
  /** The latency that a service task must stay below; 0 for no target. */
  readonly targetLatencyMs: number;
  /** The tasks use only the CPU that other tasks leave unused. */
  readonly isFiller: boolean;
  /** How many tasks of a service the scheduler may take down at once. */
  readonly mostAway: number;
}
