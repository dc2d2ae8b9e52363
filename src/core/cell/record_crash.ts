import { runKey } from "../jobs/run_key.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { isIsolated } from "./is_isolated.ts";
import type { SidecarReport } from "./sidecar_report.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** How the crash of a runner shows: by its next life, or by its absence. */
type Evidence = "next_life" | "gone";

/** A job is given up after this many crashes in a row under one task. */
const maxCrashes = 3;
/** How many runs a log line names. */
const maxNamedRuns = 8;

/**
 * Records the crash of a worker's runner that its sidecar reports, with the runs
 * that it had. Each run that was starting up may have caused it. Placement keeps
 * such tasks apart from each other and, after a second crash, tries each of them
 * alone. A start that broke off may have come too late to be the cause, so the
 * last crash counts only if no other run was starting up.
 */
export function* recordCrash(
  cell: Cell,
  worker: Worker,
  { crashedStarts, life }: SidecarReport,
  evidence: Evidence,
  nowMs: number,
): Effects {
  if (crashedStarts === undefined) return;
  const runs = [...worker.claims.values()].filter(({ claim }) =>
    claim?.isOrdered && (evidence === "gone" || claim.life !== life)
  );
  if (runs.length === 0) return;
  const crashed = new Set(crashedStarts);
  const suspects = runs.filter(({ name, run }) =>
    crashed.has(runKey({ task: name, run }))
  );
  yield {
    kind: "note",
    event: "worker_crashed",
    fields: {
      node: worker.node,
      evidence,
      runs: runs.length,
      starting: suspects.length,
      named: suspects.slice(0, maxNamedRuns)
        .map(({ name, run }) => runKey({ task: name, run })).join(" "),
    },
  };
  for (const task of suspects) {
    worker.endStartup(task);
    if (isIsolated(task) && !isAlone(task, suspects)) continue;
    task.crashes += 1;
    yield* giveUpIfSpent(cell, task, nowMs);
  }
}

/** Whether no other task may have caused the crash; a gang counts as one. */
function isAlone({ group }: Task, suspects: readonly Task[]): boolean {
  if (suspects.length === 1) return true;
  const { isGang } = group.definition;
  return isGang && suspects.every((suspect) => suspect.group === group);
}

function* giveUpIfSpent(cell: Cell, task: Task, nowMs: number): Effects {
  const { job } = task.group;
  if (job.outcome !== undefined || task.crashes < maxCrashes) return;
  const { name, run, crashes } = task;
  yield {
    kind: "note",
    event: "job_given_up",
    fields: { job: job.definition.id, task: name, run, crashes },
  };
  job.outcome = "failed";
  yield* cell.finishJob(job, nowMs);
}
