import type { JobId } from "../../schema/job_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { TaskState } from "./task_state.ts";

/** The ledger's row of one task. */
export interface TaskRow {
  readonly id: TaskId;
  readonly job: JobId;
  state: TaskState;
  /** Number of the newest attempt; 0 before the first. */
  attempt: number;
  failures: number;
  evictions: number;
  worker?: WorkerId;
  reserved?: Resources;
  claimedAtMs?: number;
  checkpoint?: string;
  result?: string;
  detail?: string;
}
