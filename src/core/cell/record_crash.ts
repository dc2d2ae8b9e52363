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
  report: SidecarReport,
  evidence: Evidence,
  nowMs: number,
): Effects {
  const { life } = report;
  const shownBy = `${evidence} ${worker.node} ${life}`;
  const runs = [...worker.claims.values()].filter(({ claim }) =>
    claim?.isOrdered && (evidence === "gone" || claim.life !== life)
  );
  const crashed = crashedStartsOf(worker, report);
  const hasCrashed = ({ name, run }: Task) =>
    crashed?.has(runKey({ task: name, run })) ?? false;
  if (evidence === "next_life" && report.isLifeBeforeUnknown) {
    noteSuspicion(worker, runs.filter((task) => !hasCrashed(task)));
  }
  if (crashed === undefined || runs.length === 0) return;
  const suspects = runs.filter(hasCrashed);
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
    // An earlier keeper may have counted it.
    if (task.crashShownBy === shownBy) continue;
    if (isIsolated(task) && !isAlone(task, suspects)) continue;
    task.crashes += 1;
    task.crashShownBy = shownBy;
    yield { kind: "save", job: task.group.job };
    yield* giveUpIfSpent(cell, task, nowMs);
  }
}

/**
 * Counts one crash at most for the runs that may have begun in a life of which
 * nothing is known, so that their tasks are kept apart but not given up for it.
 */
function noteSuspicion({ report }: Worker, runs: readonly Task[]): void {
  if (report?.isDraining) return;
  for (const task of runs) {
    if (task.claim?.isStartingUp) task.crashes = Math.max(1, task.crashes);
  }
}

/**
 * The keys of the runs that were starting up at the crash; undefined if there
 * was none. If a sidecar has restarted since, they include those that its
 * predecessor had confirmed.
 */
function crashedStartsOf(
  worker: Worker,
  { crashedStarts, isLifeBeforeUnknown, life }: SidecarReport,
): ReadonlySet<string> | undefined {
  const last = worker.report;
  if (!isLifeBeforeUnknown || last === undefined || last.isDraining) {
    return crashedStarts && new Set(crashedStarts);
  }
  const begun = [...worker.claims.values()].filter(({ claim }) =>
    claim?.life !== life && claim?.hasBegun && claim.isStartingUp
  );
  const keys = begun.map(({ name, run }) => runKey({ task: name, run }));
  return new Set([...crashedStarts ?? [], ...keys]);
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
