import type { JobDefinition } from "../jobs/job_definition.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Group } from "./group.ts";
import { Job } from "./job.ts";
import type { JobRow } from "./job_row.ts";

type GroupRow = JobRow["o"][number][1][number];

/** A job as its definition and its row tell it. */
export function decodeJob(
  definition: JobDefinition,
  row: JobRow | undefined,
  nowMs: number,
): Job {
  const job = new Job(definition);
  if (row === undefined) return job;
  job.hasBegun = row.s !== "q";
  if (row.s !== "q" && row.s !== "r") job.outcome = row.s;
  for (const [number, groups] of row.o) {
    const occurrence = job.openOccurrence(number);
    occurrence.groups.forEach((group, step) => {
      fillGroup(group, groups[step] ?? 0, row.w, nowMs);
    });
    // What a job that is over still claims is there to be stopped.
    for (const { claim } of job.tasks()) {
      if (claim !== undefined && job.outcome !== undefined) {
        claim.phase = "stopping";
      }
    }
  }
  job.nextOccurrence = Math.max(job.nextOccurrence, row.n);
  return job;
}

function fillGroup(
  group: Group,
  rows: GroupRow,
  workers: JobRow["w"],
  nowMs: number,
): void {
  if (rows === 0) return;
  for (const task of group.tasks) {
    const row = rows === 1 ? 1 : rows[task.index] ?? 0;
    if (row === 0) continue;
    if (row === 1) {
      task.isDone = true;
      group.open -= 1;
      continue;
    }
    const [run, failures, checkpoint, worker, from] = row;
    Object.assign(task, { run, failures, checkpoint });
    const named = worker === undefined ? undefined : workers[worker];
    if (named === undefined) continue;
    task.claim = {
      node: named[0] as NodeId,
      life: named[1] as RunnerLife,
      phase: "ordered",
      sinceMs: nowMs,
      ticket: undefined,
      progress: 0,
      progressAtMs: nowMs,
      from: from ?? "",
    };
  }
}
