import type { JobId } from "./job_id.ts";

/** The position of a task: its job, and its numbers within the job, from 0. */
export interface TaskPosition {
  readonly job: JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}
