import type { JobId } from "../core/jobs/job_id.ts";

/** The key of a job's progress row in the keeper's stream. */
export function progressKey(id: JobId): string {
  return `job ${id}`;
}
