import type { JobDefinition } from "../jobs/job_definition.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskGroup } from "./task_group.ts";
import { Job } from "./job.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

type GroupRow = JobProgressRow["o"][number][1][number];

const knownStates: ReadonlySet<string> = new Set([
  "q",
  "r",
  "completed",
  "failed",
  "cancelled",
]);

/** More tasks of several occurrences are not open at a time. */
const maxOpenTasks = 100_000;

/** Restores a job from its definition and its progress row, if it has one. */
export function decodeJob(
  definition: JobDefinition,
  row: JobProgressRow | undefined,
  nowMs: number,
): Job {
  const job = new Job(definition);
  if (row === undefined) return job;
  const { s: state, n: next, w: workers, o: open, ...unknownFields } = row;
  if (!knownStates.has(state)) throw new Error(`unknown state "${state}"`);
  const numbers = new Set(open.map(([number]) => number));
  if (numbers.size < open.length) throw new Error("an occurrence stands twice");
  const { count = 1 } = definition.schedule ?? {};
  if (Math.max(next, ...numbers) > count) {
    throw new Error("too many occurrences");
  }
  if (open.length > 1 && open.length * job.taskCount > maxOpenTasks) {
    throw new Error("too many tasks are open");
  }
  job.unknownFields = unknownFields;
  job.hasBegun = state !== "q";
  if (state !== "q" && state !== "r") job.outcome = state;
  for (const [number, groups] of open) {
    if (groups.length !== definition.steps.length) {
      throw new Error("it has other steps");
    }
    const occurrence = job.openOccurrence(number);
    occurrence.groups.forEach((group, step) => {
      restoreGroup(group, groups[step] ?? 0, workers, nowMs);
    });
    // A claim of a job with an outcome is a run that must still be stopped.
    for (const { claim } of job.tasks()) {
      if (claim !== undefined && job.outcome !== undefined) {
        claim.phase = "stopping";
      }
    }
  }
  job.nextOccurrence = Math.max(job.nextOccurrence, next);
  job.hasStarted = job.hasBegun || [...job.tasks()].some(({ run }) => run > 0);
  return job;
}

function restoreGroup(
  group: TaskGroup,
  rows: GroupRow,
  workers: JobProgressRow["w"],
  nowMs: number,
): void {
  // 0 and 1 stand for a whole group or task; see job_progress_row.ts.
  if (rows === 0) return;
  if (rows !== 1 && rows.length !== group.tasks.length) {
    throw new Error("a step has other tasks");
  }
  for (const task of group.tasks) {
    const row = rows === 1 ? 1 : rows[task.index] ?? 0;
    if (row === 0) continue;
    if (row === 1) {
      task.isDone = true;
      group.unfinishedCount -= 1;
      continue;
    }
    const [
      run,
      failures,
      checkpoint,
      workerIndex,
      startCheckpoint,
      crashes = 0,
      listed = 0,
      shownBy = "",
    ] = row;
    const crashShownBy = shownBy === "" ? undefined : shownBy;
    Object.assign(task, {
      run,
      failures,
      checkpoint,
      crashes,
      crashShownBy,
    });
    const worker = workers[workerIndex ?? -1];
    if (worker === undefined) continue;
    // The worker's next report shows whether the run is active.
    task.claim = {
      node: worker[0] as NodeId,
      life: worker[1] as RunnerLife,
      phase: "starting",
      isOrdered: true,
      phaseSinceMs: nowMs,
      hasBegun: false,
      isListed: listed === 1,
      isStartingUp: true,
      ticket: undefined,
      progressPercent: 0,
      progressAtMs: nowMs,
      startCheckpoint: startCheckpoint ?? "",
    };
  }
}
