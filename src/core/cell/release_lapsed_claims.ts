import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { isStartSettled } from "./is_start_settled.ts";
import { recordCrash } from "./record_crash.ts";
import type { SidecarReport } from "./sidecar_report.ts";
import type { Worker } from "./worker.ts";

/**
 * Releases the claims of a worker whose sidecar reports that nothing of them runs
 * any more. The exit of a runner does not settle the starts that an earlier
 * process of the sidecar sent, which a next life may take until their lease ends.
 */
export function* releaseLapsedClaims(
  cell: Cell,
  worker: Worker,
  report: SidecarReport,
  nowMs: number,
): Generator<CellEffect, void> {
  const { isDraining, isGone, isPredecessorSettled } = report;
  if (isGone && !isDraining) {
    yield* recordCrash(cell, worker, report, "gone", nowMs);
  }
  const tasks = [...worker.claims.values()];
  const hasExited = isGone && isDraining;
  const mayArrive = hasExited && !isPredecessorSettled;
  const released = mayArrive ? tasks.filter(isStartSettled) : tasks;
  if (released.length > 0) {
    const { node } = worker;
    const exited = hasExited ? 1 : 0;
    const fields = { node, life: report.life, exited, claims: released.length };
    yield { kind: "note", event: "worker_lapsed", fields };
  }
  yield* cell.handleWorkerLost(worker.node, nowMs, released);
}
