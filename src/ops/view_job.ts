import { decodeJob } from "../core/cell/decode_job.ts";
import type { JobRow } from "../core/cell/job_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobView } from "./job_view.ts";

/** What the store's rows tell of a job. */
export function viewJob(
  definition: JobDefinition,
  row: JobRow | undefined,
  isCancelled: boolean,
): JobView {
  const job = decodeJob(definition, row, 0);
  const { id, queue, receivedMs } = definition;
  const steps = [...job.open.values()].flatMap(({ number, groups }) =>
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
    .map(({ name, run, failures, checkpoint, claim }) => ({
      task: name,
      runs: run,
      failures,
      checkpoint,
      worker: claim?.node,
    }));
  const state = isCancelled ? "cancelled" : job.state;
  return { id, queue, state, receivedMs, steps, tasks };
}
