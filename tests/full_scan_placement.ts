import type { Queue } from "../src/core/jobs/queue.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { Cell } from "../src/core/cell/cell.ts";
import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import { chooseByFullScan } from "./full_scan_choice.ts";
import { compareUrgency } from "../src/core/cell/compare_urgency.ts";
import type { Job } from "../src/core/cell/job.ts";
import type { PlacementMode } from "../src/core/cell/placement_mode.ts";
import type { TaskGroup } from "../src/core/cell/task_group.ts";
import { reserveQuietWorker } from "../src/core/cell/reserve_quiet_worker.ts";
import { buildStart } from "../src/core/cell/build_start.ts";
import type { Task } from "../src/core/cell/task.ts";
import type { Urgency } from "../src/core/cell/urgency.ts";
import { urgencyOf } from "../src/core/cell/urgency_of.ts";
import type { Worker } from "../src/core/cell/worker.ts";

/** A job without a run for this long is placed in relaxed mode. */
const maxIdleMs = 1_800;
/** A service's task that has waited for this long is, too. */
const maxServiceIdleMs = 5_000;
/** How long fillers wait at most for the first reports of all workers. */
const maxSettlingMs = 1_200;

type Tickets = ReadonlyMap<RunnerLife, string> | undefined;
type Effects = Generator<CellEffect, void>;

/**
 * Placement as a plain scan: every tick compares every waiting task with every
 * worker. It is the reference for the choices of `placeWaitingTasks`.
 */
export function* placeByFullScan(
  cell: Cell,
  nowMs: number,
  wallMs: number,
): Effects {
  const waiting: Urgency[] = [];
  const isSettling = isCellSettling(cell, nowMs);
  for (const job of cell.liveJobs) {
    const queue = cell.queues.get(job.definition.queue);
    if (queue === undefined) continue;
    for (const group of job.readyGroups()) {
      if (!hasWaiting(group)) continue;
      if (isSettling && group.definition.isFiller) continue;
      waiting.push(urgencyOf(group, queue, wallMs));
    }
  }
  waiting.sort(compareUrgency);
  for (const { group } of waiting) {
    const queue = cell.queues.get(group.job.definition.queue);
    if (queue === undefined) continue;
    if (group.definition.isGang) yield* placeGang(cell, group, queue, nowMs);
    else yield* placeTasks(cell, group, queue, nowMs);
  }
  yield* cell.advice.queryNext(cell.workers, nowMs);
}

/**
 * Whether a new keeper still waits for workers with claims to report. After a
 * loss of all workers each report releases services, which need room without
 * fillers that disturb them; so services are placed first, on all workers.
 */
function isCellSettling(cell: Cell, nowMs: number): boolean {
  if (nowMs - cell.beganAtMs >= maxSettlingMs) return false;
  for (const { isReconciled, claims } of cell.workers.values()) {
    if (!isReconciled && claims.size > 0) return true;
  }
  return false;
}

function* placeTasks(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): Effects {
  const tickets = cell.advice.ticketsFor(group, queue, nowMs);
  const { job } = group;
  for (const task of group.tasks) {
    if (!isWaiting(task)) continue;
    const mayRelax = isRelaxed(task, nowMs);
    const worker = chooseForTask(cell, task, queue, nowMs, tickets, mayRelax);
    if (worker === undefined) {
      cell.advice.noteUnplaced(task, queue, nowMs);
      noteIdle(task, nowMs);
      if (task.crashes < 2 && group.definition.isService) continue;
      if (task.crashes < 2) return;
      reserveQuietWorker(cell, group, queue, nowMs);
      continue;
    }
    yield* claimAndStart(worker, task, task.run + 1, nowMs, tickets);
    job.idleSinceMs = undefined;
  }
}

/** Chooses a worker, in relaxed mode if strict mode finds none and it may. */
function chooseForTask(
  cell: Cell,
  task: Task,
  queue: Queue,
  nowMs: number,
  tickets: Tickets,
  mayRelax: boolean,
): Worker | undefined {
  const workers = [...cell.workers.values()];
  const { pressure } = cell;
  const choose = (mode: PlacementMode) =>
    chooseByFullScan(task, queue, workers, pressure, nowMs, mode, tickets);
  const best = choose("strict");
  return best === undefined && mayRelax ? choose("relaxed") : best;
}

/** Whether a job without a run, or a service's task, has waited for so long. */
function isRelaxed({ group, idleSinceMs }: Task, nowMs: number): boolean {
  const { definition, job } = group;
  const isOver = (sinceMs: number | undefined, maxMs: number) =>
    sinceMs !== undefined && nowMs - sinceMs >= maxMs;
  return !hasClaims(job) && isOver(job.idleSinceMs, maxIdleMs) ||
    definition.isService && isOver(idleSinceMs, maxServiceIdleMs);
}

/** Notes since when a task has found no worker, and its job has had no run. */
function noteIdle(task: Task, nowMs: number): void {
  const { definition, job } = task.group;
  if (hasClaims(job)) job.idleSinceMs = undefined;
  else job.idleSinceMs ??= nowMs;
  if (definition.isService) task.idleSinceMs ??= nowMs;
}

/** Places all tasks of a gang at once, or none. */
function* placeGang(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): Effects {
  if (group.tasks.some((task) => !isWaiting(task))) return;
  const run = Math.max(...group.tasks.map((task) => task.run)) + 1;
  const checkpoint = group.tasks.find((task) => task.checkpoint !== "")
    ?.checkpoint ?? "";
  const claimed: [Worker, Task][] = [];
  const tickets = cell.advice.ticketsFor(group, queue, nowMs);
  // Claims of this attempt do not count: they are undone unless all fit.
  const mayRelax = group.tasks.some((task) => isRelaxed(task, nowMs));
  for (const task of group.tasks) {
    const worker = chooseForTask(cell, task, queue, nowMs, tickets, mayRelax);
    if (worker === undefined) break;
    task.checkpoint = checkpoint;
    claimRun(worker, task, run, nowMs, tickets);
    claimed.push([worker, task]);
  }
  if (claimed.length < group.tasks.length) {
    for (const [worker, task] of claimed) undoClaim(worker, task);
    cell.advice.noteUnplaced(group.tasks[claimed.length]!, queue, nowMs);
    reserveQuietWorker(cell, group, queue, nowMs);
    for (const task of group.tasks) noteIdle(task, nowMs);
    return;
  }
  group.job.idleSinceMs = undefined;
  for (const [worker, task] of claimed) yield* startRun(worker, task);
}

function* claimAndStart(
  worker: Worker,
  task: Task,
  run: number,
  nowMs: number,
  tickets: Tickets,
): Effects {
  claimRun(worker, task, run, nowMs, tickets);
  yield* startRun(worker, task);
}

function claimRun(
  worker: Worker,
  task: Task,
  run: number,
  nowMs: number,
  tickets: Tickets,
): void {
  task.run = run;
  task.claim = {
    node: worker.node,
    life: worker.report!.life,
    phase: "starting",
    isOrdered: false,
    phaseSinceMs: nowMs,
    hasBegun: false,
    isListed: false,
    isStartingUp: true,
    ticket: tickets?.get(worker.report!.life),
    progressPercent: 0,
    progressAtMs: nowMs,
    startCheckpoint: task.checkpoint,
  };
  worker.addClaim(task);
}

function undoClaim(worker: Worker, task: Task): void {
  worker.removeClaim(task);
  task.claim = undefined;
  task.run -= 1;
}

/** Saves the claim and starts its run. */
function* startRun(worker: Worker, task: Task): Effects {
  task.idleSinceMs = undefined;
  if (task.crashes >= 2) worker.quiet = undefined;
  const { job } = task.group;
  job.hasStarted = true;
  worker.beginPendingStart(task);
  yield { kind: "save", job };
  yield { kind: "start", node: worker.node, command: buildStart(task) };
}

function hasClaims(job: Job): boolean {
  return [...job.tasks()].some(({ claim }) => claim !== undefined);
}

function hasWaiting(group: TaskGroup): boolean {
  return group.tasks.some((task) => isWaiting(task));
}

function isWaiting(task: Task): boolean {
  return !task.isDone && task.claim === undefined;
}
