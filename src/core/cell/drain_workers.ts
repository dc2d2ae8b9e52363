import type { RunTimes } from "../estimate/run_times.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { chooseOtherWorker } from "./choose_other_worker.ts";
import type { Task } from "./task.ts";

/** About how long a draining runner keeps running before it exits. */
const drainTimeMs = 2_000;

/**
 * Stops the runs on draining workers that would not end in time, where another
 * worker has room for them.
 */
export function* drainWorkers(
  cell: Cell,
  nowMs: number,
): Generator<CellEffect, void> {
  for (const worker of cell.workers.values()) {
    const { report } = worker;
    if (report?.isDraining !== true || !report.isUp || !worker.isReconciled) {
      continue;
    }
    for (const task of [...worker.claims.values()]) {
      if (mayFinish(task, cell.statistics.runTimes)) continue;
      const target = chooseOtherWorker(cell, worker, task, nowMs, "relaxed");
      if (target === undefined) continue;
      yield* cell.stopRun(task, "drain", nowMs);
    }
  }
}

/** Whether a run may stay until its end. One that is not running yet may. */
function mayFinish(task: Task, runTimes: RunTimes): boolean {
  const { isService, isGang, savesProgress, isFiller } = task.group.definition;
  if (task.claim?.phase !== "running") return true;
  if (isGang) return false;
  if (isService || (isFiller && savesProgress)) return false;
  const progress = task.claim.progressPercent / 100;
  return runTimes.expectedMs(task.group) * (1 - progress) <= drainTimeMs;
}
