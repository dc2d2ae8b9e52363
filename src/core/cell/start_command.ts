import type { Resources } from "../../schema/resources.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";

/** The command to start a run, with all that the worker's gate needs for it. */
export interface StartCommand {
  readonly kind: "start";
  readonly task: TaskName;
  readonly run: number;
  readonly life: RunnerLife;
  readonly payload: string;
  readonly checkpoint: string;
  /** The advisor's permission to run the step, if the queue has an advisor. */
  readonly ticket: string | undefined;
  readonly resources: Resources;
  readonly isService: boolean;
  readonly isFiller: boolean;
  readonly image: string | undefined;
  readonly targetLatencyMs: number;
}
