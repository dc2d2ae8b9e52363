import type { CellId } from "../../schema/cell_id.ts";
import type { Job } from "../../schema/job.ts";

/** The ledger's row of one job. */
export interface JobRow {
  readonly job: Job;
  readonly submittedAtMs: number;
  /** Offset of the record that submitted the job. */
  readonly offset: number;
  /** How many tasks have not ended. */
  unfinished: number;
  evictions: number;
  cancelled: boolean;
  movedTo?: CellId;
  endedAtMs?: number;
}
