import type { TaskName } from "./task_name.ts";
import type { TaskPlace } from "./task_place.ts";

/** The name of the task at a place. */
export function taskNameOf(place: TaskPlace): TaskName {
  const { job, occurrence, step, index } = place;
  return `${job}.${occurrence}.${step}.${index}` as TaskName;
}
