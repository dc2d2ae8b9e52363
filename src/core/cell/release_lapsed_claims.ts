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
  const { isDraining, isGone } = report;
  if (isGone && !isDraining) {
    yield* recordCrash(cell, worker, report, "gone", nowMs);
  }
  const tasks = [...worker.claims.values()];
  const released = isGone && isDraining ? tasks.filter(isStartSettled) : tasks;
  yield* cell.handleWorkerLost(worker.node, nowMs, released);
}
