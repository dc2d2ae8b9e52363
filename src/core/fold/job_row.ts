import type { CellId } from "../../schema/cell_id.ts";
import type { Job } from "../../schema/job.ts";

/** What the ledger keeps of one job. */
export interface JobRow {
  readonly job: Job;
  readonly submittedAtMs: number;
  readonly offset: number;
  unfinished: number;
  evictions: number;
  cancelled: boolean;
  movedTo?: CellId;
  endedAtMs?: number;
}
