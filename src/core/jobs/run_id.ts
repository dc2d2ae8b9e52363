import type { TaskName } from "./task_name.ts";

/** One run of a task. */
export interface RunId {
  readonly task: TaskName;
  readonly run: number;
}
