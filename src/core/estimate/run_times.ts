import type { Job } from "../cell/job.ts";
import type { TaskGroup } from "../cell/task_group.ts";

/** How long tasks take, as decisions expect it. */
export interface RunTimes {
  /** The time that a task of the group takes on an undisturbed worker. */
  expectedMs(group: TaskGroup): number;
  /** For each step of a job, the time from its start to the end of the job. */
  criticalPathsMs(job: Job): readonly number[];
}
