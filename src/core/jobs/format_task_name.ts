import type { TaskName } from "./task_name.ts";
import type { TaskPosition } from "./task_position.ts";

/** Returns the name of the task at a position. */
export function formatTaskName(position: TaskPosition): TaskName {
  const { job, occurrence, step, index } = position;
  return `${job}.${occurrence}.${step}.${index}` as TaskName;
}
