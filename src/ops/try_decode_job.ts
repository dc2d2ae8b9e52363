import { decodeJob } from "../core/cell/decode_job.ts";
import type { Job } from "../core/cell/job.ts";
import type { JobProgressRow } from "../core/cell/job_progress_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";

/** Decodes a job; undefined if its row cannot be read. */
export function tryDecodeJob(
  definition: JobDefinition,
  row: JobProgressRow | undefined,
): Job | undefined {
  try {
    return decodeJob(definition, row, 0);
  } catch {
    // The row is of a later build, or damaged; the caller shows that.
    return undefined;
  }
}
