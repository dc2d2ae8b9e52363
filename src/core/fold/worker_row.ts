import type { Labels } from "../../schema/labels.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** What the ledger keeps of one worker. */
export interface WorkerRow {
  readonly id: WorkerId;
  /** The start of the worker that its claims belong to. */
  bootId: string;
  capacity: Resources;
  labels: Labels;
  used: Resources;
  failStreak: number;
  lastFailureAtMs: number;
  readonly tasks: Set<TaskId>;
}
