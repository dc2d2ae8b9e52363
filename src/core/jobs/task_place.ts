import type { JobId } from "./job_id.ts";

/** A task's place in its job. */
export interface TaskPlace {
  readonly job: JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}
