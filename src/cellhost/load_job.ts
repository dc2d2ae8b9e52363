import type { Logger } from "../adapters/logger.ts";
import type { Cell } from "../core/cell/cell.ts";
import { decodeJob } from "../core/cell/decode_job.ts";
import type { JobProgressRow } from "../core/cell/job_progress_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";

/**
 * Loads a job. One that cannot be read, such as one that a later build wrote, is
 * left alone and holds up no other.
 */
export function loadJob(
  cell: Cell,
  job: JobDefinition,
  row: JobProgressRow | undefined,
  nowMs: number,
  log: Logger,
): void {
  try {
    cell.load(decodeJob(job, row, nowMs));
  } catch (cause) {
    const detail = cause instanceof Error ? cause.stack : String(cause);
    cell.unreadable.add(job);
    log.error("job_unreadable", { job: job.id, detail });
  }
}
