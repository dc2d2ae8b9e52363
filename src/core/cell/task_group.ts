import type { StepDefinition } from "../jobs/step_definition.ts";
import type { Job } from "./job.ts";
import type { Task } from "./task.ts";

/** The tasks of one step of a job, in one occurrence. */
export interface TaskGroup {
  readonly job: Job;
  readonly occurrence: number;
  readonly step: number;
  readonly definition: StepDefinition;
  readonly tasks: readonly Task[];
  /** How many of the tasks are not done. */
  unfinishedCount: number;
  /** How many of the tasks have a claimed run; kept by `Worker`. */
  claimCount: number;
}
