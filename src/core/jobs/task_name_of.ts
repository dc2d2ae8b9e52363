import type { TaskName } from "./task_name.ts";
import type { TaskPlace } from "./task_place.ts";

/** Returns the name of the task at a position. */
export function taskNameOf(position: TaskPlace): TaskName {
  const { job, occurrence, step, index } = position;
  return `${job}.${occurrence}.${step}.${index}` as TaskName;
}
