import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** A command to stop a run of one life of a runner. */
export interface StopCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly life: RunnerLife;
}
