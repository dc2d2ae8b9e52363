import type { JobId } from "../core/jobs/job_id.ts";

/**
 * The key of a job's cancellation in the stream of jobs. A key that is one
 * already is returned unchanged.
 */
export function cancellationKey(id: JobId): string {
  return id.endsWith("!") ? id : `${id}!`;
}
