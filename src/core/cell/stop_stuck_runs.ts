import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Task } from "./task.ts";

/** Stops runs without progress, so that they are placed on other workers. */
export function* stopStuckRuns(
  cell: Cell,
  nowMs: number,
): Generator<CellEffect, void> {
  for (const worker of cell.workers.values()) {
    if (!worker.isReconciled) continue;
    for (const task of worker.claims.values()) {
      if (!isStuck(cell, task, nowMs)) continue;
      task.avoidedWorker = worker.node;
      yield* cell.stopRun(task, "stuck", nowMs);
    }
  }
}

/**
 * Whether a run is stuck. Progress comes in whole percents, so the limit grows
 * with the run's expected time.
 */
function isStuck(cell: Cell, task: Task, nowMs: number): boolean {
  const { claim } = task;
  const { isService, isFiller, isGang } = task.group.definition;
  if (isService || isFiller || isGang) return false;
  if (claim?.phase !== "running") return false;
  const { stuckFactor, stuckMinMs } = cell.options;
  const expectedMs = cell.statistics.runTimes.expectedMs(task.group);
  const limitMs = Math.max(stuckMinMs, expectedMs * stuckFactor);
  return nowMs - claim.progressAtMs >= limitMs;
}
