import type { Resources } from "../../schema/resources.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { JobRow } from "../fold/job_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import { tasksOf } from "../fold/tasks_of.ts";
import { fits } from "../resources/fits.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import { matchesSelector } from "../select/matches_selector.ts";

/** Whether a worker can run a task now, later or never. */
type WorkerFit = "not_selected" | "too_small" | "no_room_now" | "has_room";

/**
 * Yields a line for each job with waiting tasks, by the id of the job or of its
 * member: how many workers there are of each fit.
 */
export function* explainWaiting(
  ledger: CellLedger,
  jobOrMember: string,
): Generator<string> {
  for (const row of ledger.jobs.values()) {
    if (row.job.id !== jobOrMember && row.job.member !== jobOrMember) continue;
    const waiting = [...tasksOf(ledger, row)]
      .filter(({ state }) => state === "waiting").length;
    if (waiting === 0) continue;
    const counts = countWorkersByFit(ledger, row);
    const possible = counts.no_room_now + counts.has_room > 0;
    const pairs = Object.entries(counts).map(([k, n]) => `${k}=${n}`);
    yield `waiting job=${row.job.id} tasks=${waiting} canEverRun=${possible} workers: ${
      pairs.join(" ")
    }`;
  }
}

function countWorkersByFit(
  ledger: CellLedger,
  row: JobRow,
): Record<WorkerFit, number> {
  const counts = { not_selected: 0, too_small: 0, no_room_now: 0, has_room: 0 };
  for (const worker of ledger.workers.values()) {
    counts[fitOf(row, row.job.needs, worker)] += 1;
  }
  return counts;
}

function fitOf(row: JobRow, needs: Resources, worker: WorkerRow): WorkerFit {
  if (!matchesSelector(row.job.workers, worker.labels)) return "not_selected";
  if (!fits(needs, worker.capacity)) return "too_small";
  const room = subtractResources(worker.capacity, worker.used);
  return fits(needs, room) ? "has_room" : "no_room_now";
}
