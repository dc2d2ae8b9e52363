import type { Job } from "../cell/job.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import type { RunTimes } from "./run_times.ts";

/** The run times that callers declare. */
export class DeclaredRunTimes implements RunTimes {
  expectedMs({ definition }: TaskGroup): number {
    return definition.expectedMs;
  }

  criticalPathsMs(job: Job): readonly number[] {
    return job.criticalPathsMs;
  }
}
