import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** An order to stop a run. */
export interface StopOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly life: RunnerLife;
}
