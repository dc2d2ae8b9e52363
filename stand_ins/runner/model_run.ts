import type { TaskName } from "../../src/core/jobs/task_name.ts";

/** A run of a model of a runner. */
export interface ModelRun {
  readonly task: TaskName;
  readonly run: number;
  checkpoint: string;
  percent: number;
  figure: number;
  pace: number;
}
