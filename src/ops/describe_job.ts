import type { JobProgressRow } from "../core/cell/job_progress_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { tryDecodeJob } from "./try_decode_job.ts";
import type { JobDetails } from "./job_details.ts";

/** Details of a job, from its definition, progress row and state. */
export function describeJob(
  definition: JobDefinition,
  row: JobProgressRow | undefined,
  state: JobState,
): JobDetails {
  const { id, queue, receivedMs } = definition;
  const job = tryDecodeJob(definition, row);
  if (job === undefined) {
    return { id, queue, state, receivedMs, steps: [], tasks: [] };
  }
  const steps = [...job.openOccurrences.values()].flatMap((
    { number, groups },
  ) =>
    groups.map(({ step, tasks }) => ({
      occurrence: number,
      step,
      count: tasks.length,
      done: tasks.filter(({ isDone }) => isDone).length,
      claimed: tasks.filter(({ claim }) => claim !== undefined).length,
    }))
  );
  const tasks = [...job.tasks()]
    .filter(({ run, isDone }) => run > 0 && !isDone)
    .map(({ name, run, failures, crashes, checkpoint, claim }) => ({
      task: name,
      runs: run,
      failures,
      crashes,
      checkpoint,
      worker: claim?.node,
    }));
  return { id, queue, state, receivedMs, steps, tasks };
}
