import { cancellationKey } from "../cellhost/cancellation_key.ts";
import type { JobDirectory } from "../cellhost/job_directory.ts";
import type { JobId } from "../core/jobs/job_id.ts";

/** Whether the directory has read the row of a job or of a cancellation. */
export function isStored(directory: JobDirectory, key: string): boolean {
  const id = key.slice(0, -1) as JobId;
  return key === cancellationKey(id)
    ? directory.cancelled.has(id)
    : directory.definitions.has(key as JobId);
}
