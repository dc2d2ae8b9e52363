import type { CellLedger } from "../fold/cell_ledger.ts";
import type { WorkerRow } from "../fold/worker_row.ts";

/** How many failures in a row quarantine a worker. */
const failureThreshold = 3;
/** The pause at the threshold; it doubles with each further failure. */
const firstPauseMs = 10_000;
const longestPauseMs = 600_000;
/** At most this share of the workers, and at least one, is quarantined. */
const largestQuarantinedShare = 0.2;

/**
 * Withholds new tasks from workers that fail all tasks they start, up to a
 * share of the workers of the cell.
 */
export class Quarantine {
  /** Whether the worker is limited to one task at a time, as a trial. */
  isOnTrial(worker: WorkerRow): boolean {
    return worker.failStreak >= failureThreshold;
  }

  /**
   * The workers that get no new tasks now: those in a pause, and those whose
   * trial task runs. The most failures come first where the share is exceeded.
   */
  quarantined(ledger: CellLedger, atMs: number): ReadonlySet<WorkerRow> {
    const failing = [...ledger.workers.values()]
      .filter((row) => this.isOnTrial(row))
      .filter((row) =>
        row.tasks.size > 0 ||
        atMs < row.lastFailureAtMs + pauseMs(row.failStreak)
      )
      .sort((a, b) => b.failStreak - a.failStreak);
    const limit = Math.max(
      1,
      Math.floor(ledger.workers.size * largestQuarantinedShare),
    );
    return new Set(failing.slice(0, limit));
  }
}

function pauseMs(failStreak: number): number {
  const doublings = Math.min(failStreak - failureThreshold, 10);
  return Math.min(firstPauseMs * 2 ** doublings, longestPauseMs);
}
