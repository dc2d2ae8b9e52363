import type { Resources } from "../../schema/resources.ts";

/** One step of a job: a number of like tasks. */
export interface StepDefinition {
  readonly count: number;
  readonly resources: Resources;
  /** How long a task takes, roughly. */
  readonly expectedMs: number;
  /** The earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  readonly savesProgress: boolean;
  /** The tasks work only together. */
  readonly isGang: boolean;
  /** The tasks are slower when spread over racks. */
  readonly sameRack: boolean;
  /** A label that the worker must have. */
  readonly label: string | undefined;
  /** The rack where the tasks' data is. */
  readonly dataRack: string | undefined;
  /** How many tasks of one occurrence may share a worker; 0 for any number. */
  readonly mostPerWorker: number;
  /** Copies may run beside each other. */
  readonly isSpeculative: boolean;
  /** The tasks serve until the job is cancelled. */
  readonly isService: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image: string | undefined;
  /** Below this the latency of a service task must stay; 0 for no target. */
  readonly targetLatencyMs: number;
  /** The tasks take only the processors that others leave unused. */
  readonly isFiller: boolean;
  /** How many tasks of a service may be away at once through our doing. */
  readonly mostAway: number;
}
