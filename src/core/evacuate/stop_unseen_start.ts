import type { Cell } from "../cell/cell.ts";
import type { CellEffect } from "../cell/cell_effect.ts";
import type { Task } from "../cell/task.ts";

/**
 * Withdraws the start of a task in an evacuated data centre. A claim whose
 * start has not been sent is released; a run that may have been started, but
 * was not seen running, is stopped.
 */
export function* stopUnseenStart(
  cell: Cell,
  task: Task,
  nowMs: number,
): Generator<CellEffect, void> {
  if (task.claim?.phase !== "starting") return;
  yield* cell.stopRun(task, "evacuate", nowMs);
}
