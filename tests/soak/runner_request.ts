import type { TaskName } from "../../src/core/jobs/task_name.ts";

/** The body of a call to a runner. */
export interface RunnerRequest {
  readonly task: TaskName;
  readonly run: number;
  readonly spec?: string;
  readonly fencingToken?: number;
  readonly deadlineMs?: number;
  readonly checkpoint?: string;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}
