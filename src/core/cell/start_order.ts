import type { Resources } from "../../schema/resources.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";

/** An order to start a run, with what its worker's gate must know of it. */
export interface StartOrder {
  readonly kind: "start";
  readonly task: TaskName;
  readonly run: number;
  readonly life: RunnerLife;
  readonly payload: string;
  readonly checkpoint: string;
  /** An advisor's leave for the runner to run the step, where it takes one. */
  readonly ticket: string | undefined;
  readonly resources: Resources;
  readonly isService: boolean;
  readonly isFiller: boolean;
  readonly image: string | undefined;
  readonly targetLatencyMs: number;
}
