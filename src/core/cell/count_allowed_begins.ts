import type { Job } from "./job.ts";

/** Bytes of an unfinished task in its job's row, without checkpoints. */
const taskBytes = 26;
/** Bytes of a worker to which the claims in a row refer. */
const workerBytes = 128;
/** Bytes of a task in a row that never ran or is done, and of a row's rest. */
const restingTaskBytes = 2;
const rowBytes = 200;
/** The length of a checkpoint that a task may save, until it has saved one. */
const checkpointBytes = 16;

/**
 * How many tasks of a job that never ran may begin, so that the job's progress
 * row stays below a size. A task that ran before may always run again.
 */
export function countAllowedBegins(job: Job, maxRowBytes = Infinity): number {
  const { openTaskCount } = job;
  const savesProgress = job.definition.steps.some((step) => step.savesProgress);
  let longest = savesProgress ? checkpointBytes : 0;
  const sizeOf = (checkpoint: number) => taskBytes + 2 * checkpoint;
  if (openTaskCount * (sizeOf(longest) + workerBytes) <= maxRowBytes / 2) {
    return Infinity;
  }
  let begun = 0;
  const workers = new Set<string>();
  for (const { run, isDone, claim, checkpoint } of job.tasks()) {
    if (run === 0 || isDone) continue;
    begun += 1;
    longest = Math.max(longest, checkpoint.length);
    if (claim !== undefined) workers.add(`${claim.node} ${claim.life}`);
  }
  const used = rowBytes + openTaskCount * restingTaskBytes +
    begun * sizeOf(longest) + workers.size * workerBytes;
  const perTask = sizeOf(longest) + workerBytes;
  const allowed = Math.floor((maxRowBytes - used) / perTask);
  // A job without a run would never end.
  return Math.max(allowed, begun === 0 ? 1 : 0);
}
