import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Cell } from "./cell.ts";
import type { FillerView } from "./filler_view.ts";
import { findObstacle } from "./find_obstacle.ts";
import { relaxationWaitMs } from "./relaxation_wait_ms.ts";
import type { Task } from "./task.ts";
import type { WaitingExplanation } from "./waiting_explanation.ts";

/**
 * Why no worker takes a task: how many of them are ruled out by which condition
 * first, and how many would take it in relaxed mode.
 */
export function explainPlacement(
  cell: Cell,
  task: Task,
  queue: Queue,
  view: FillerView,
  tickets: ReadonlyMap<RunnerLife, string> | undefined,
): WaitingExplanation {
  const { nowMs } = view;
  const counts: Record<string, number> = {};
  let fits = 0;
  let fitsRelaxed = 0;
  let suspendedLeftMs = 0;
  let oldestReportMs = 0;
  for (const worker of cell.workers.values()) {
    const find = (mode: "strict" | "relaxed") =>
      findObstacle(task, queue, worker, view, mode, tickets);
    const obstacle = find("strict");
    if (obstacle === undefined) fits += 1;
    else counts[obstacle] = (counts[obstacle] ?? 0) + 1;
    if (obstacle === undefined || find("relaxed") === undefined) {
      fitsRelaxed += 1;
    }
    if (obstacle === "suspended") {
      const leftMs = worker.suspendedUntilMs - nowMs;
      suspendedLeftMs = Math.max(suspendedLeftMs, leftMs);
    }
    if (obstacle === "other_pool" || worker.report === undefined) continue;
    oldestReportMs = Math.max(oldestReportMs, nowMs - worker.reportedAtMs);
  }
  const needed = task.group.definition.isGang ? task.group.tasks.length : 1;
  const relaxesInMs = relaxationWaitMs(task, nowMs);
  const allowed = relaxesInMs === 0 ? fitsRelaxed : fits;
  return {
    reason: allowed >= needed ? "worker_found" : "no_worker",
    worker: undefined,
    inputs: {
      workers: cell.workers.size,
      needed,
      fits,
      fits_relaxed: fitsRelaxed,
      ...counts,
      may_relax: relaxesInMs === 0,
      relaxes_in_ms: Number.isFinite(relaxesInMs)
        ? Math.round(relaxesInMs)
        : undefined,
      suspended_left_ms: suspendedLeftMs > 0
        ? Math.round(suspendedLeftMs)
        : undefined,
      oldest_report_age_ms: Math.round(oldestReportMs),
      tickets: tickets?.size,
    },
  };
}
