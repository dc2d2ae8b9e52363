import type { JobId } from "./job_id.ts";
import type { TaskPosition } from "./task_position.ts";

const taskNamePattern = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Returns the position that a task's name states; `undefined` if malformed. */
export function parseTaskName(name: string): TaskPosition | undefined {
  const match = taskNamePattern.exec(name);
  if (match === null) return undefined;
  return {
    job: match[1] as JobId,
    occurrence: Number(match[2]),
    step: Number(match[3]),
    index: Number(match[4]),
  };
}
