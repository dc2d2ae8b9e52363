import type { RunId } from "../jobs/run_id.ts";
import { parseRunKey } from "../jobs/parse_run_key.ts";
import { runKey } from "../jobs/run_key.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { noResources } from "../resources/no_resources.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { reservedResources } from "./reserved_resources.ts";
import { stopUnseenStart } from "../evacuate/stop_unseen_start.ts";
import { buildStart } from "./build_start.ts";
import { settleRun } from "./settle_run.ts";
import { stopEffectFor } from "./stop_effect_for.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** How often the stop of an unclaimed run is resent while it is listed. */
const unclaimedStopIntervalMs = 500;
/** A command without visible effect is resent after this. */
const resendMs = 1_500;

/**
 * Reconciles a worker's claims with the runs that it lists or may yet start:
 * resends the starts of missing runs, and stops unclaimed ones.
 */
export function* reconcileRuns(
  cell: Cell,
  worker: Worker,
  runs: ReadonlyMap<TaskName, RunStatus>,
  nowMs: number,
): Effects {
  worker.strays.clear();
  for (const [name, status] of runs) {
    const task = worker.claimedTask(name, status.run);
    if (task === undefined) {
      yield* stopUnclaimed(cell, worker, status, nowMs);
      continue;
    }
    cell.recordCheckpoint(task, status.checkpoint);
    if (worker.isRenewed) setListed(cell, task, true);
    yield* cell.markStarted(worker.node, status, nowMs);
    recordProgress(task, status.percent, nowMs);
    settleRun(cell, worker, task, status);
  }
  for (const run of worker.report?.unsettled.map(parseRunKey) ?? []) {
    if (runs.get(run.task)?.run === run.run) continue;
    if (worker.claimedTask(run.task, run.run) !== undefined) continue;
    yield* stopUnclaimed(cell, worker, run, nowMs);
  }
  for (const key of worker.strayStopSentAtMs.keys()) {
    if (!worker.strays.has(key)) worker.strayStopSentAtMs.delete(key);
  }
  for (const task of worker.claims.values()) {
    yield* resendCommand(cell, worker, task, runs, nowMs);
  }
}

/** A service may run for long, so that its claim outlives the keeper. */
function setListed(cell: Cell, { claim, group }: Task, isListed: boolean) {
  if (claim === undefined || claim.isListed === isListed) return;
  claim.isListed = isListed;
  if (group.definition.isService) cell.saveSoon(group.job);
}

function* stopUnclaimed(
  cell: Cell,
  worker: Worker,
  run: RunId,
  nowMs: number,
): Effects {
  const unreadable = cell.unreadable.stepOf(run.task);
  const definition = unreadable ?? cell.task(run.task)?.group.definition;
  const key = runKey(run);
  worker.strays.set(
    key,
    definition === undefined ? noResources : reservedResources(definition),
  );
  if (unreadable !== undefined) return;
  const sentAtMs = worker.strayStopSentAtMs.get(key) ?? -Infinity;
  if (nowMs - sentAtMs < unclaimedStopIntervalMs) return;
  worker.strayStopSentAtMs.set(key, nowMs);
  yield stopEffectFor(worker, run.task, run.run, "stray");
}

/** Resends a claim's command, which a lost connection or sidecar can drop. */
function* resendCommand(
  cell: Cell,
  worker: Worker,
  task: Task,
  runs: ReadonlyMap<TaskName, RunStatus>,
  nowMs: number,
): Effects {
  const { claim } = task;
  if (claim === undefined) return;
  if (worker.isEvacuated && claim.phase === "starting") {
    yield* stopUnseenStart(cell, task, nowMs);
    return;
  }
  if (!claim.isOrdered) return;
  const isStopping = claim.phase === "stopping";
  if (!isStopping && runs.get(task.name)?.run === task.run) return;
  // A run that has ended, of which the end is not listed yet, is not missing.
  if (!isStopping && worker.report?.hasMoreEnds) return;
  if (worker.isReconciled && nowMs - claim.phaseSinceMs < resendMs) return;
  if (isStopping) {
    claim.phaseSinceMs = nowMs;
    yield stopEffectFor(worker, task.name, task.run, "again");
    return;
  }
  // The others follow with a later report.
  if (worker.isBusyStarting && !worker.pendingStarts.has(task)) return;
  claim.phaseSinceMs = nowMs;
  setListed(cell, task, false);
  worker.beginPendingStart(task);
  yield { kind: "start", node: worker.node, command: buildStart(task) };
}

function recordProgress(task: Task, percent: number, nowMs: number): void {
  const { claim } = task;
  if (claim === undefined || percent === claim.progressPercent) return;
  claim.progressPercent = percent;
  claim.progressAtMs = nowMs;
}
