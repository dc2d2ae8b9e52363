import type { RunEnd } from "../jobs/run_end.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** A worker is set aside after this many failures in a row. */
const failuresBeforeAside = 3;
const firstAsideMs = 2_000;
const mostAsideMs = 16_000;
/** No more than this part of a cell is set aside at once. */
const mostAsidePart = 0.34;
/** How much a new run weighs in a worker's slowness. */
const slownessWeight = 0.25;

/** Takes in the end of a task's claimed run. */
export function* settleEnd(
  cell: Cell,
  worker: Worker,
  task: Task,
  end: RunEnd,
  nowMs: number,
): Effects {
  const { group } = task;
  const { job } = group;
  learn(cell, worker, task, end, nowMs);
  task.claim = undefined;
  if (end.checkpoint !== "") task.checkpoint = end.checkpoint;
  if (job.outcome !== undefined) {
    // A later keeper has nothing left to stop.
    if (!job.isRunning) yield { kind: "save", job };
    return;
  }
  yield { kind: "save", job };
  if (end.outcome === "done" && !group.definition.isService) {
    yield* settleDone(cell, task, nowMs);
  } else if (end.outcome === "failed") {
    yield* settleFailed(cell, task, worker, nowMs);
  } else {
    if (end.outcome !== "stopped") task.avoid = worker.node;
    if (group.definition.isGang) yield* breakGang(cell, task, nowMs);
  }
}

function* settleDone(cell: Cell, task: Task, nowMs: number): Effects {
  const { group } = task;
  const members = group.definition.isGang ? group.tasks : [task];
  for (const member of members) {
    if (member.isDone) continue;
    member.isDone = true;
    group.open -= 1;
  }
  if (group.open > 0) return;
  group.job.closeDone(group.occurrence);
  if (group.job.outcome !== undefined) yield* cell.finish(group.job, nowMs);
}

function* settleFailed(
  cell: Cell,
  task: Task,
  worker: Worker,
  nowMs: number,
): Effects {
  const { group } = task;
  const { job, definition } = group;
  task.avoid = worker.node;
  const counted = definition.isGang ? group.tasks : [task];
  for (const member of counted) member.failures += 1;
  const most = cell.queues.get(job.definition.queue)?.maxAttempts ?? Infinity;
  if (!definition.isService && task.failures >= most) {
    job.outcome = "failed";
    yield* cell.finish(job, nowMs);
  } else if (definition.isGang) {
    yield* breakGang(cell, task, nowMs);
  }
}

/** Stops the other members of a gang's run, one of which has ended. */
function* breakGang(cell: Cell, ended: Task, nowMs: number): Effects {
  for (const member of ended.group.tasks) {
    member.checkpoint = ended.checkpoint;
    if (member.run !== ended.run) continue;
    yield* cell.stop(member, "gang", nowMs);
  }
}

function learn(
  cell: Cell,
  worker: Worker,
  task: Task,
  end: RunEnd,
  nowMs: number,
): void {
  if (end.outcome === "done") {
    worker.failuresInRow = 0;
    worker.timesAside = 0;
    noteSlowness(worker, task, nowMs);
    return;
  }
  if (end.outcome !== "failed") return;
  worker.failuresInRow += 1;
  if (worker.failuresInRow < failuresBeforeAside) return;
  const aside = [...cell.workers.values()]
    .filter(({ asideUntilMs }) => asideUntilMs > nowMs).length;
  if (aside + 1 > cell.workers.size * mostAsidePart) return;
  worker.failuresInRow = 0;
  worker.timesAside += 1;
  const pauseMs = firstAsideMs * 2 ** (worker.timesAside - 1);
  worker.asideUntilMs = nowMs + Math.min(mostAsideMs, pauseMs);
}

function noteSlowness(worker: Worker, task: Task, nowMs: number): void {
  const { isFiller, isService, isGang, expectedMs } = task.group.definition;
  const { claim } = task;
  if (isFiller || isService || isGang || claim === undefined) return;
  if (claim.from !== "" || expectedMs === 0) return;
  const ratio = (nowMs - claim.sinceMs) / expectedMs;
  worker.slowness += (ratio - worker.slowness) * slownessWeight;
}
