import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { chooseWorker } from "./choose_worker.ts";
import { isCellSettling } from "./is_cell_settling.ts";
import { isIsolated } from "./is_isolated.ts";
import { countAllowedStarts } from "./count_allowed_starts.ts";
import { countAllowedBegins } from "./count_allowed_begins.ts";
import type { PlacementMode } from "./placement_mode.ts";
import type { TaskGroup } from "./task_group.ts";
import { relaxationWaitMs } from "./relaxation_wait_ms.ts";
import { reserveQuietWorker } from "./reserve_quiet_worker.ts";
import { buildStart } from "./build_start.ts";
import type { Task } from "./task.ts";
import type { Urgency } from "./urgency.ts";
import { urgencyOf } from "./urgency_of.ts";
import type { Worker } from "./worker.ts";

type Tickets = ReadonlyMap<RunnerLife, string> | undefined;
type Effects = Generator<CellEffect, void>;

/**
 * Places waiting tasks, the most urgent group first. A group that fits nowhere
 * does not hold up the others. Groups whose class of demand has no worker are
 * left out before urgencies are computed, so that the cost follows the changes.
 */
export function* placeWaitingTasks(
  cell: Cell,
  nowMs: number,
  wallMs: number,
): Effects {
  if (!cell.isConfigured) return;
  const waiting: Urgency[] = [];
  const unplaceable = new Set<TaskGroup>();
  const isSettling = isCellSettling(cell, nowMs);
  cell.demand.update(cell, nowMs);
  const { attempts, runTimes } = cell.statistics;
  for (const job of cell.liveJobs) {
    const queue = cell.queues.get(job.definition.queue);
    if (queue === undefined) continue;
    for (const group of job.waitingGroups) {
      if (isSettling && group.definition.isFiller) continue;
      if (!isPlaceable(cell, group, queue, nowMs)) {
        noteIdle(group, nowMs);
        if (!cell.order.comparesAll) continue;
        unplaceable.add(group);
      }
      const urgency = urgencyOf(group, queue, wallMs, runTimes);
      waiting.push(attempts?.demoted(urgency) ?? urgency);
    }
  }
  for (const { group } of cell.order.sort(waiting, cell, nowMs, wallMs)) {
    if (unplaceable.has(group)) continue;
    const queue = cell.queues.get(group.job.definition.queue);
    if (queue === undefined) continue;
    if (group.definition.isGang) yield* placeGang(cell, group, queue, nowMs);
    else yield* placeTasks(cell, group, queue, nowMs);
  }
  yield* cell.advice.queryNext(cell.workers, nowMs);
}

/**
 * Whether some worker may take a task of the group. A queue with an advisor is
 * always tried, since the attempt also renews its tickets.
 */
function isPlaceable(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): boolean {
  if (queue.advice !== undefined) return true;
  const { definition } = group;
  const mayRelax = mayRelaxAny(group, nowMs);
  if (definition.isGang) {
    return cell.demand.mayTryGang(group, queue, nowMs, mayRelax);
  }
  const { demand } = cell;
  return demand.hasWorker(group, queue, "strict") ||
    (mayRelax && demand.hasWorker(group, queue, "relaxed"));
}

function* placeTasks(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): Effects {
  const tickets = cell.advice.ticketsFor(group, queue, nowMs);
  const { job } = group;
  let allowedBegins = countAllowedBegins(job, cell.options.maxRowBytes);
  let allowedStarts = countAllowedStarts(
    job,
    cell.demand.workerCountOf(queue.pool),
  );
  for (const task of group.tasks) {
    if (!isWaiting(task)) continue;
    if (task.run === 0 && allowedBegins <= 0) continue;
    if (allowedStarts <= 0) return;
    if (cell.statistics.attempts?.mayStart(group) === false) return;
    const mayRelax = mayRelaxTask(task, nowMs);
    const worker = chooseForTask(cell, task, queue, tickets, mayRelax);
    if (worker === undefined) {
      cell.advice.noteUnplaced(task, queue, nowMs);
      noteIdleTask(task, nowMs);
      // Another task of a service may have waited for longer.
      if (!isIsolated(task) && group.definition.isService) continue;
      if (!isIsolated(task)) return;
      // An isolated task waits for a worker of its own, the others need not.
      reserveQuietWorker(cell, group, queue, nowMs);
      continue;
    }
    if (task.run === 0) allowedBegins -= 1;
    allowedStarts -= 1;
    yield* claimAndStart(worker, task, task.run + 1, nowMs, tickets);
    job.idleSinceMs = undefined;
  }
}

/** Chooses a worker, in relaxed mode if strict mode finds none and it may. */
function chooseForTask(
  cell: Cell,
  task: Task,
  queue: Queue,
  tickets: Tickets,
  mayRelax: boolean,
): Worker | undefined {
  const choose = (mode: PlacementMode) =>
    cell.demand.choose(task, queue, mode, tickets);
  const best = choose("strict");
  return best === undefined && mayRelax ? choose("relaxed") : best;
}

/** Whether a task is placed in relaxed mode. */
function mayRelaxTask(task: Task, nowMs: number): boolean {
  return relaxationWaitMs(task, nowMs) === 0;
}

/** Whether a waiting task of the group is placed in relaxed mode. */
function mayRelaxAny(
  { tasks, definition }: TaskGroup,
  nowMs: number,
): boolean {
  if (!definition.isService) return mayRelaxTask(tasks[0]!, nowMs);
  return tasks.some((task) => isWaiting(task) && mayRelaxTask(task, nowMs));
}

/** Notes since when a task has found no worker, and its job has had no run. */
function noteIdleTask(task: Task, nowMs: number): void {
  const { definition, job } = task.group;
  if (job.hasClaims) job.idleSinceMs = undefined;
  else job.idleSinceMs ??= nowMs;
  if (definition.isService) task.idleSinceMs ??= nowMs;
}

/** Notes the same for the waiting tasks of a group. */
function noteIdle({ tasks, definition }: TaskGroup, nowMs: number): void {
  // Of other tasks only the job's wait counts.
  if (!definition.isService) {
    noteIdleTask(tasks[0]!, nowMs);
    return;
  }
  for (const task of tasks) {
    if (isWaiting(task)) noteIdleTask(task, nowMs);
  }
}

/** Places all tasks of a gang at once, or none. */
function* placeGang(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): Effects {
  if (group.tasks.some((task) => !isWaiting(task))) return;
  if (!mayGangBegin(group, cell.options.maxRowBytes)) return;
  const run = Math.max(...group.tasks.map((task) => task.run)) + 1;
  const checkpoint = group.tasks.find((task) => task.checkpoint !== "")
    ?.checkpoint ?? "";
  const claimed: [Worker, Task][] = [];
  const tickets = cell.advice.ticketsFor(group, queue, nowMs);
  // Claims of this attempt do not count: they are undone unless all fit.
  const mayRelax = mayRelaxAny(group, nowMs);
  for (const task of group.tasks) {
    // Claims on trial must not mark workers as full, so that all are scanned.
    const choose = (mode: PlacementMode) =>
      chooseWorker(
        task,
        queue,
        cell.workers.values(),
        cell.demand.view,
        mode,
        tickets,
      );
    const worker = choose("strict") ??
      (mayRelax ? choose("relaxed") : undefined);
    if (worker === undefined) break;
    task.checkpoint = checkpoint;
    claimRun(worker, task, run, nowMs, tickets);
    claimed.push([worker, task]);
  }
  if (claimed.length < group.tasks.length) {
    for (const [worker, task] of claimed) undoClaim(worker, task);
    cell.advice.noteUnplaced(group.tasks[claimed.length]!, queue, nowMs);
    reserveQuietWorker(cell, group, queue, nowMs);
    cell.demand.noteGangUnplaced(group, queue, nowMs, mayRelax);
    noteIdle(group, nowMs);
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
  worker.undoClaim(task);
  task.claim = undefined;
  task.run -= 1;
}

/** Saves the claim and starts its run. */
function* startRun(worker: Worker, task: Task): Effects {
  task.idleSinceMs = undefined;
  if (isIsolated(task)) worker.quiet = undefined;
  const { job } = task.group;
  job.hasStarted = true;
  worker.beginPendingStart(task);
  yield { kind: "save", job };
  yield { kind: "start", node: worker.node, command: buildStart(task) };
}

/** Whether the row of the gang's job would stay within its limit. */
function mayGangBegin({ job, tasks }: TaskGroup, maxRowBytes?: number) {
  const fresh = tasks.filter(({ run }) => run === 0).length;
  return !job.hasClaims || fresh <= countAllowedBegins(job, maxRowBytes);
}

function isWaiting(task: Task): boolean {
  return !task.isDone && task.claim === undefined;
}
