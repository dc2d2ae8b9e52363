import { runKey } from "../jobs/run_key.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** How the crash of a runner shows: by its next life, or by its absence. */
type Evidence = "next_life" | "gone";

/** How many runs a log line names. */
const maxNamedRuns = 8;

/** Records the crash of a worker's runner with the runs that it had. */
export function* recordCrash(
  { node }: Worker,
  runs: readonly Task[],
  evidence: Evidence,
): Generator<CellEffect, void> {
  const ordered = runs.filter(({ claim }) => claim?.isOrdered);
  if (ordered.length === 0) return;
  const suspects = ordered.filter(({ claim }) => claim?.isStartingUp);
  yield {
    kind: "note",
    event: "worker_crashed",
    fields: {
      node,
      evidence,
      runs: ordered.length,
      starting: suspects.length,
      named: suspects.slice(0, maxNamedRuns)
        .map(({ name, run }) => runKey({ task: name, run })).join(" "),
    },
  };
}
