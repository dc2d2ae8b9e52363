import type { JobId } from "../core/jobs/job_id.ts";

/** The key of a job's row in its keeper's stream. */
export function progressKeyOf(id: JobId): string {
  return `job ${id}`;
}
