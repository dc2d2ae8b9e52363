import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";

/** The names of a job's tasks, or of those of one step; one occurrence. */
export function* taskNamesOf(
  { id, steps }: JobDefinition,
  only?: number,
): Generator<TaskName> {
  for (const [step, { count }] of steps.entries()) {
    if (only !== undefined && step !== only) continue;
    for (let index = 0; index < count; index++) {
      yield `${id}.0.${step}.${index}` as TaskName;
    }
  }
}
