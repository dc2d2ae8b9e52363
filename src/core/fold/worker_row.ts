import type { Labels } from "../../schema/labels.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** The ledger's row of one worker. */
export interface WorkerRow {
  readonly id: WorkerId;
  /** Identifies the start of the worker that its claims belong to. */
  bootId: string;
  capacity: Resources;
  labels: Labels;
  /** Sum of its tasks' reservations. */
  used: Resources;
  /** Failures since the last task that finished. */
  failStreak: number;
  lastFailureAtMs: number;
  readonly tasks: Set<TaskId>;
}
