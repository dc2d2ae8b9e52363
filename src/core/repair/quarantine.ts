import type { CellLedger } from "../fold/cell_ledger.ts";
import type { WorkerRow } from "../fold/worker_row.ts";

const failuresBefore = 3;
const firstPauseMs = 10_000;
const longestPauseMs = 600_000;
const largestShare = 0.2;

/** Keeps workers that fail all they start out of use, a share at most. */
export class Quarantine {
  /** Whether the worker may hold one task at most, as a trial. */
  isSuspect(worker: WorkerRow): boolean {
    return worker.failStreak >= failuresBefore;
  }

  /** The workers that get no new tasks now. */
  closed(ledger: CellLedger, atMs: number): ReadonlySet<WorkerRow> {
    const failing = [...ledger.workers.values()]
      .filter((row) => this.isSuspect(row))
      .filter((row) =>
        row.tasks.size > 0 ||
        atMs < row.lastFailureAtMs + pauseMs(row.failStreak)
      )
      .sort((a, b) => b.failStreak - a.failStreak);
    const most = Math.max(1, Math.floor(ledger.workers.size * largestShare));
    return new Set(failing.slice(0, most));
  }
}

function pauseMs(failStreak: number): number {
  const doublings = Math.min(failStreak - failuresBefore, 10);
  return Math.min(firstPauseMs * 2 ** doublings, longestPauseMs);
}
