import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** A measure against a disturbance, for one task. */
export interface InterferenceAction {
  readonly kind: "throttle" | "move" | "restore";
  readonly task: TaskId;
  readonly worker: WorkerId;
}
