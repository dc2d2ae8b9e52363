import type { JobId } from "./job_id.ts";
import type { TaskPlace } from "./task_place.ts";

const pattern = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** The place that a task's name tells, if it is one. */
export function parseTaskName(name: string): TaskPlace | undefined {
  const match = pattern.exec(name);
  if (match === null) return undefined;
  return {
    job: match[1] as JobId,
    occurrence: Number(match[2]),
    step: Number(match[3]),
    index: Number(match[4]),
  };
}
