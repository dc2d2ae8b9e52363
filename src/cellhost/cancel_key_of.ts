import type { JobId } from "../core/jobs/job_id.ts";

/** The key under which a job's cancellation is stored, beside the job. */
export function cancelKeyOf(id: JobId): string {
  return id.endsWith("!") ? id : `${id}!`;
}
