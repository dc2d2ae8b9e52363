import { runKey } from "../jobs/run_key.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { SidecarReport } from "./sidecar_report.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/**
 * Releases claims made for other lives of the runner, except those whose run is
 * active or unsettled in the current life: a start command does not tell lives
 * of one runner id apart, so it can reach a later life. While one that an earlier
 * process of the sidecar sent may do so yet, the run is stopped in the current
 * life first, which then rejects it.
 */
export function* releaseClaimsOfOtherLives(
  cell: Cell,
  worker: Worker,
  { hasMoreEnds, isPredecessorSettled, life, unsettled }: SidecarReport,
  runs: ReadonlyMap<TaskName, RunStatus>,
  nowMs: number,
): Generator<CellEffect, void> {
  // A run in the current life may have an end that is not listed yet.
  if (hasMoreEnds) return;
  for (const task of [...worker.claims.values()]) {
    const { claim } = task;
    if (claim === undefined || claim.life === life) continue;
    const mayRunHere = runs.get(task.name)?.run === task.run ||
      unsettled.includes(runKey({ task: task.name, run: task.run }));
    const mayArrive = !isPredecessorSettled && claim.isOrdered;
    const isReleased = !mayRunHere && !mayArrive;
    yield noteClaim(isReleased ? "claim_released" : "claim_moved", task, life);
    if (isReleased) {
      yield* cell.releaseClaim(worker, task, nowMs);
      continue;
    }
    task.claim = { ...claim, life, isListed: false };
    yield { kind: "save", job: task.group.job };
    if (!mayRunHere) yield* cell.stopRun(task, "other_life", nowMs);
  }
}

function noteClaim(
  event: string,
  { claim, name, run }: Task,
  reportedLife: RunnerLife,
): CellEffect {
  const { node = "", life = "" } = claim ?? {};
  const fields = { task: name, run, node, life, reported_life: reportedLife };
  return { kind: "note", event, fields };
}
