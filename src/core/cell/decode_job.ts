import type { JobDefinition } from "../jobs/job_definition.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskGroup } from "./task_group.ts";
import { Job } from "./job.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

type GroupRow = JobProgressRow["o"][number][1][number];

/** Restores a job from its definition and its progress row, if it has one. */
export function decodeJob(
  definition: JobDefinition,
  row: JobProgressRow | undefined,
  nowMs: number,
): Job {
  const job = new Job(definition);
  if (row === undefined) return job;
  job.hasStarted = row.s !== "q";
  if (row.s !== "q" && row.s !== "r") job.outcome = row.s;
  for (const [number, groups] of row.o) {
    const occurrence = job.openOccurrence(number);
    occurrence.groups.forEach((group, step) => {
      restoreGroup(group, groups[step] ?? 0, row.w, nowMs);
    });
    // Claims that outlive their job are runs that must still be stopped.
    for (const { claim } of job.tasks()) {
      if (claim !== undefined && job.outcome !== undefined) {
        claim.phase = "stopping";
      }
    }
  }
  job.nextOccurrence = Math.max(job.nextOccurrence, row.n);
  return job;
}

function restoreGroup(
  group: TaskGroup,
  rows: GroupRow,
  workers: JobProgressRow["w"],
  nowMs: number,
): void {
  if (rows === 0) return;
  for (const task of group.tasks) {
    const row = rows === 1 ? 1 : rows[task.index] ?? 0;
    if (row === 0) continue;
    if (row === 1) {
      task.isDone = true;
      group.unfinishedCount -= 1;
      continue;
    }
    const [run, failures, checkpoint, worker, from] = row;
    Object.assign(task, { run, failures, checkpoint });
    const claimant = worker === undefined ? undefined : workers[worker];
    if (claimant === undefined) continue;
    task.claim = {
      node: claimant[0] as NodeId,
      life: claimant[1] as RunnerLife,
      phase: "starting",
      phaseSinceMs: nowMs,
      ticket: undefined,
      progressPercent: 0,
      progressAtMs: nowMs,
      startCheckpoint: from ?? "",
    };
  }
}
