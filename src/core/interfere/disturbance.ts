import type { TaskId } from "../../schema/task_id.ts";
import type { DisturbanceState } from "./disturbance_state.ts";

/** How the service of one worker is disturbed and what was done about it. */
export interface Disturbance {
  state: DisturbanceState;
  /** When the state was entered. */
  sinceMs: number;
  /** The tasks that are throttled. */
  readonly throttled: Set<TaskId>;
}
