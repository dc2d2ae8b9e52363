import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";

/** Stops runs that take far longer than expected, so that they go elsewhere. */
export function* stopStuck(
  cell: Cell,
  nowMs: number,
): Generator<CellEffect, void> {
  const { stuckFactor, stuckLeastMs } = cell.options;
  for (const worker of cell.workers.values()) {
    for (const task of worker.claims.values()) {
      const { claim } = task;
      const { isService, isFiller, isGang, expectedMs } = task.group.definition;
      if (isService || isFiller || isGang) continue;
      if (claim?.phase !== "running") continue;
      const limitMs = Math.max(stuckLeastMs, expectedMs * stuckFactor);
      if (nowMs - claim.sinceMs < limitMs) continue;
      task.avoid = worker.node;
      yield* cell.stop(task, "stuck", nowMs);
    }
  }
}
