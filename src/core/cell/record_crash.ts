import { runKey } from "../jobs/run_key.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
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
 * Records the end of a worker's runner with the runs that it had, unless it had
 * announced that. The runs of its next life are not among them. Each run
 * that was starting up may have caused it. Placement keeps such tasks apart
 * from each other and, after a second crash, tries each of them alone, so that
 * only the cause is still there at the last one.
 */
export function* recordCrash(
  cell: Cell,
  worker: Worker,
  evidence: Evidence,
  nowMs: number,
  nextLife?: RunnerLife,
): Effects {
  const { drainedLife } = worker;
  const runs = [...worker.claims.values()].filter(({ claim }) =>
    claim?.isOrdered && claim.life !== nextLife && claim.life !== drainedLife
  );
  if (runs.length === 0) return;
  const suspects = runs.filter(({ claim }) => claim?.isStartingUp);
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
    task.crashes += 1;
    yield* giveUpIfSpent(cell, task, nowMs);
  }
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
