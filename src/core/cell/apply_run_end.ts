import type { RunTimes } from "../estimate/run_times.ts";
import type { RunEnd } from "../jobs/run_end.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { noteLastRunEnd } from "./note_last_run_end.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** A worker is suspended after this many failures in a row. */
const failuresToSuspend = 3;
/** Duration of the first suspension; each further one in a row doubles it. */
const firstSuspensionMs = 2_000;
const maxSuspensionMs = 16_000;
/** At most this share of a cell's workers is suspended at once. */
const maxSuspendedShare = 0.34;
/** Weight of the newest run in the moving average of a worker's slowness. */
const slownessWeight = 0.25;

/** Applies the end of a task's claimed run to the task, its job and worker. */
export function* applyRunEnd(
  cell: Cell,
  worker: Worker,
  task: Task,
  end: RunEnd,
  nowMs: number,
): Effects {
  const { group } = task;
  const { job } = group;
  updateHealth(cell, worker, task, end, nowMs);
  // A runner lists the ends of what it has begun, numbered from 1.
  const isListed = end.number > 0;
  if (isListed && job.outcome === undefined) yield* cell.noteBegun(job);
  if (end.outcome === "done") {
    yield* cell.statistics.recordDone(task, nowMs, cell.beganAtMs);
  }
  const { attempts } = cell.statistics;
  if (attempts) yield* attempts.recordEnd(worker, task, end.outcome, nowMs);
  noteLastRunEnd(task, end, nowMs);
  task.claim = undefined;
  // A run that ends by itself has not crashed its worker.
  if (end.outcome === "done" || end.outcome === "failed") task.crashes = 0;
  if (end.checkpoint !== "") task.checkpoint = end.checkpoint;
  if (job.outcome !== undefined) {
    // The row must show a later keeper that there is nothing left to stop.
    if (!job.hasClaims) yield { kind: "save", job };
    return;
  }
  yield { kind: "save", job };
  if (end.outcome === "done" && !group.definition.isService) {
    yield* applyDone(cell, task, nowMs);
  } else if (end.outcome === "failed") {
    yield* applyFailure(cell, task, worker, nowMs);
  } else {
    if (end.outcome !== "stopped") task.avoidedWorker = worker.node;
    if (group.definition.isGang) yield* stopGang(cell, task, nowMs);
  }
}

function* applyDone(cell: Cell, task: Task, nowMs: number): Effects {
  const { group } = task;
  const doneTasks = group.definition.isGang ? group.tasks : [task];
  for (const doneTask of doneTasks) {
    if (doneTask.isDone) continue;
    doneTask.isDone = true;
    group.unfinishedCount -= 1;
  }
  if (group.unfinishedCount > 0) return;
  group.job.closeIfDone(group.occurrence);
  if (group.job.outcome !== undefined) yield* cell.finishJob(group.job, nowMs);
}

function* applyFailure(
  cell: Cell,
  task: Task,
  worker: Worker,
  nowMs: number,
): Effects {
  const { group } = task;
  const { job, definition } = group;
  task.avoidedWorker = worker.node;
  const failedTasks = definition.isGang ? group.tasks : [task];
  for (const failedTask of failedTasks) failedTask.failures += 1;
  const maxAttempts = cell.queues.get(job.definition.queue)?.maxAttempts ??
    Infinity;
  if (!definition.isService && task.failures >= maxAttempts) {
    job.outcome = "failed";
    yield* cell.finishJob(job, nowMs);
  } else if (definition.isGang) {
    yield* stopGang(cell, task, nowMs);
  }
}

/** Stops the other tasks of a gang when one of them has ended. */
function* stopGang(cell: Cell, ended: Task, nowMs: number): Effects {
  for (const gangTask of ended.group.tasks) {
    gangTask.checkpoint = ended.checkpoint;
    if (gangTask.run !== ended.run) continue;
    yield* cell.stopRun(gangTask, "gang", nowMs);
  }
}

/** Updates a worker's failures, suspension and slowness after a run. */
function updateHealth(
  cell: Cell,
  worker: Worker,
  task: Task,
  end: RunEnd,
  nowMs: number,
): void {
  if (end.outcome === "done") {
    worker.consecutiveFailures = 0;
    worker.consecutiveSuspensions = 0;
    updateSlowness(worker, task, cell.statistics.runTimes, nowMs);
    return;
  }
  if (end.outcome !== "failed") return;
  worker.consecutiveFailures += 1;
  if (worker.consecutiveFailures < failuresToSuspend) return;
  const suspended = [...cell.workers.values()]
    .filter(({ suspendedUntilMs }) => suspendedUntilMs > nowMs).length;
  if (suspended + 1 > cell.workers.size * maxSuspendedShare) return;
  worker.consecutiveFailures = 0;
  worker.consecutiveSuspensions += 1;
  const pauseMs = firstSuspensionMs * 2 ** (worker.consecutiveSuspensions - 1);
  worker.suspendedUntilMs = nowMs + Math.min(maxSuspensionMs, pauseMs);
}

function updateSlowness(
  worker: Worker,
  task: Task,
  runTimes: RunTimes,
  nowMs: number,
): void {
  const { isFiller, isService, isGang } = task.group.definition;
  const expectedMs = runTimes.expectedMs(task.group);
  const { claim } = task;
  if (isFiller || isService || isGang || claim === undefined) return;
  if (claim.startCheckpoint !== "" || expectedMs === 0) return;
  // Its speed was seen to change, so the whole run tells nothing of it now.
  const wasSlow = claim.phaseSinceMs < worker.recoveredAtMs;
  if (worker.speed !== "normal" || wasSlow) return;
  const ratio = (nowMs - claim.phaseSinceMs) / expectedMs;
  worker.slowness += (ratio - worker.slowness) * slownessWeight;
}
