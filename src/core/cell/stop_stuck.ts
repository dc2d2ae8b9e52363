import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Task } from "./task.ts";

/** Stops runs that make no progress any more, so that they go elsewhere. */
export function* stopStuck(
  cell: Cell,
  nowMs: number,
): Generator<CellEffect, void> {
  for (const worker of cell.workers.values()) {
    if (!worker.isAdopted) continue;
    for (const task of worker.claims.values()) {
      if (!isStuck(cell, task, nowMs)) continue;
      task.avoid = worker.node;
      yield* cell.stop(task, "stuck", nowMs);
    }
  }
}

/** Progress is told in whole percents, so a long run may seem to stand. */
function isStuck(cell: Cell, task: Task, nowMs: number): boolean {
  const { claim } = task;
  const { isService, isFiller, isGang, expectedMs } = task.group.definition;
  if (isService || isFiller || isGang) return false;
  if (claim?.phase !== "running") return false;
  const { stuckFactor, stuckLeastMs } = cell.options;
  const limitMs = Math.max(stuckLeastMs, expectedMs * stuckFactor);
  return nowMs - claim.progressAtMs >= limitMs;
}
