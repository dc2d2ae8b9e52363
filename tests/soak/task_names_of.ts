import { formatTaskName } from "../../src/core/jobs/format_task_name.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { SoakJob } from "./soak_job.ts";

/** The names of a step's tasks; the soak's jobs have one occurrence. */
export function taskNamesOf({ id, steps }: SoakJob, step: number): TaskName[] {
  return Array.from(
    { length: steps[step]?.count ?? 0 },
    (_, index) => formatTaskName({ job: id, occurrence: 0, step, index }),
  );
}
