import type { TaskId } from "../../schema/task_id.ts";
import type { DisturbanceState } from "./disturbance_state.ts";

/** What is being done about one worker's service. */
export interface Disturbance {
  state: DisturbanceState;
  sinceMs: number;
  /** The tasks that were throttled. */
  readonly throttled: Set<TaskId>;
}
