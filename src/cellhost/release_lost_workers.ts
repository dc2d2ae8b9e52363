import type { Cell } from "../core/cell/cell.ts";
import { isStartSettled } from "../core/cell/is_start_settled.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import { releaseEndedLife } from "../core/cell/release_ended_life.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { TermLog } from "./term_log.ts";

/** Releases the claims of workers on which certainly nothing runs any more. */
export function* releaseLostWorkers(
  cell: Cell,
  leases: LeaseTracker,
  termLog: TermLog,
  nowMs: number,
): Generator<CellEffect, void> {
  for (const worker of cell.workers.values()) {
    if (worker.isReconciled || worker.claims.size === 0) continue;
    const { node } = worker;
    if (!leases.hasExpired(node)) {
      yield* releaseEndedLife(cell, worker, nowMs);
      continue;
    }
    const tasks = [...worker.claims.values()].filter((task) =>
      leases.hasExpired(node, isStartSettled(task))
    );
    if (tasks.length === 0) continue;
    termLog.recordLostWorker(worker, tasks.length);
    yield* cell.handleWorkerLost(node, nowMs, tasks);
  }
}
