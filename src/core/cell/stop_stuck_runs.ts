import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Task } from "./task.ts";

/** A worker's runs are checked at least this often, should limits change. */
const recheckMs = 500;

/**
 * Stops runs without progress, so that they are placed on other workers. A
 * worker's runs are looked at only when one of them can have become stuck.
 */
export function* stopStuckRuns(
  cell: Cell,
  nowMs: number,
): Generator<CellEffect, void> {
  for (const worker of cell.workers.values()) {
    if (!worker.isReconciled || nowMs < worker.stuckCheckAtMs) continue;
    // A run that starts from now on cannot be stuck before the shortest limit.
    let nextAtMs = nowMs + Math.min(recheckMs, cell.options.stuckMinMs);
    for (const task of worker.claims.values()) {
      const atMs = stuckAtMs(cell, task);
      if (nowMs < atMs) {
        nextAtMs = Math.min(nextAtMs, atMs);
        continue;
      }
      task.avoidedWorker = worker.node;
      yield* cell.stopRun(task, "stuck", nowMs);
    }
    worker.stuckCheckAtMs = nextAtMs;
  }
}

/**
 * When a run counts as stuck unless it progresses. Progress comes in whole
 * percents, so the limit grows with the run's expected time.
 */
function stuckAtMs(cell: Cell, task: Task): number {
  const { claim } = task;
  const { isService, isFiller, isGang } = task.group.definition;
  if (isService || isFiller || isGang) return Infinity;
  if (claim?.phase !== "running") return Infinity;
  const { stuckFactor, stuckMinMs } = cell.options;
  const expectedMs = cell.statistics.runTimes.expectedMs(task.group);
  const limitMs = Math.max(stuckMinMs, expectedMs * stuckFactor);
  return claim.progressAtMs + limitMs;
}
