import type { TaskGroup } from "./task_group.ts";

/** One execution of a job's steps; a repeated job has several. */
export interface Occurrence {
  readonly number: number;
  readonly groups: readonly TaskGroup[];
}
