import type { RunnerLife } from "../jobs/runner_life.ts";
import type { StartRefusal } from "./start_refusal.ts";
import type { TaskName } from "../jobs/task_name.ts";

/** A sidecar's promise that it has not started a run, and never will. */
export interface Refusal {
  readonly task: TaskName;
  readonly run: number;
  /** The runner's life for which the refused start was meant. */
  readonly life: RunnerLife;
  readonly reason: StartRefusal;
}
