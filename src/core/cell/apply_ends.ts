import type { RunEnd } from "../jobs/run_end.ts";
import { applyRunEnd } from "./apply_run_end.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { findReleasedTask } from "./find_released_task.ts";
import type { SidecarReport } from "./sidecar_report.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** Applies the ends of runs that are new in a report, and lets go of them. */
export function* applyEnds(
  cell: Cell,
  worker: Worker,
  { ends, life }: SidecarReport,
  nowMs: number,
): Effects {
  for (const end of ends) {
    if (end.number <= worker.lastEnd) continue;
    worker.lastEnd = end.number;
    yield* applyEnd(cell, worker, end, nowMs);
  }
  if (ends.length === 0) return;
  const { node, lastEnd } = worker;
  const end = cell.unreadable.lastForgettable(ends, lastEnd);
  yield { kind: "forget", node, life, end };
}

function* applyEnd(
  cell: Cell,
  worker: Worker,
  end: RunEnd,
  nowMs: number,
): Effects {
  const task = worker.claimedTask(end.task, end.run) ??
    findReleasedTask(cell, end);
  if (task === undefined) return;
  worker.removeClaim(task);
  yield* applyRunEnd(cell, worker, task, end, nowMs);
}
