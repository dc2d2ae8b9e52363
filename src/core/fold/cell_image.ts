import type { AccountRow } from "./account_row.ts";
import type { EpochRow } from "./epoch_row.ts";
import type { JobRow } from "./job_row.ts";
import type { TaskRow } from "./task_row.ts";
import type { WorkerRow } from "./worker_row.ts";

/** One part of a snapshot of the ledger, as stored in a snapshot record. */
export interface CellImage {
  readonly epoch?: EpochRow;
  readonly workers: readonly Omit<WorkerRow, "tasks" | "used">[];
  readonly jobs: readonly JobRow[];
  readonly tasks: readonly TaskRow[];
  readonly accounts: readonly AccountRow[];
}
