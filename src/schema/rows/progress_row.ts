import * as v from "valibot";
import { isProgressRow } from "../../core/cell/is_progress_row.ts";
import type { JobProgressRow } from "../../core/cell/job_progress_row.ts";

/**
 * A job's progress row; fields that a later build has added are kept. Each entry
 * reads each of these rows, so one check replaces a schema for every task.
 */
export const ProgressRow = v.custom<JobProgressRow>(
  isProgressRow,
  "not a progress row",
);
