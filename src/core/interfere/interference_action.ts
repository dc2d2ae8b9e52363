import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** One step against a disturbance. */
export interface InterferenceAction {
  readonly kind: "throttle" | "move" | "restore";
  readonly task: TaskId;
  readonly worker: WorkerId;
}
