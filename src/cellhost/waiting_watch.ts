import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Cell } from "../core/cell/cell.ts";
import type { LastRunEnd } from "../core/cell/last_run_end.ts";
import type { Task } from "../core/cell/task.ts";
import type { TaskGroup } from "../core/cell/task_group.ts";
import { waitingReasons } from "../core/cell/waiting_reasons.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { Wait } from "./wait.ts";
import { WaitingExplainer } from "./waiting_explainer.ts";
import { WaitingLines } from "./waiting_lines.ts";
import { WaitingSearch } from "./waiting_search.ts";
import { WaitingWalk } from "./waiting_walk.ts";

/** What has waited for longer is explained, logged and counted. */
const minWaitMs = 2_000;
const intervalMs = 500;
/** Most items of each kind that are looked at in an interval. */
const maxVisits = 2_000;
/** Most groups that are explained in an interval. */
const maxGroups = 2;
/** Most waits that are kept; more are noticed when some of these are over. */
const maxWaits = 2_000;

/**
 * Watches which tasks do not run though their turn has come, and why. Tasks of
 * services are watched one by one. Of other jobs, the tasks that wait for a
 * worker are watched by group, and those with a claim one by one.
 */
export class WaitingWatch {
  readonly #walk = new WaitingWalk();
  readonly #search = new WaitingSearch();
  readonly #lines: WaitingLines;
  readonly #waits = new Map<Task | TaskGroup, Wait>();
  /** When each group was first seen with a waiting task. */
  readonly #seenAtMs = new WeakMap<TaskGroup, number>();
  /** The ends after which the next start has been recorded. */
  readonly #followed = new WeakSet<LastRunEnd>();
  #updatedAtMs = -Infinity;

  constructor(
    readonly leases: LeaseTracker,
    readonly log: Logger,
    readonly metrics: PrometheusMetrics,
  ) {
    this.#lines = new WaitingLines(log);
  }

  /**
   * Logs and counts what waits, once an interval. An error in it ends the watch,
   * not the keeper's term.
   */
  update(cell: Cell, nowMs: number): void {
    if (nowMs - this.#updatedAtMs < intervalMs) return;
    this.#updatedAtMs = nowMs;
    try {
      this.#update(cell, nowMs);
    } catch (cause) {
      const detail = cause instanceof Error ? cause.stack : String(cause);
      this.log.error("waiting_watch_failed", { detail });
      this.#updatedAtMs = Infinity;
    }
  }

  /** Ends the watch: another keeper knows what waits from now on. */
  close(): void {
    this.#updatedAtMs = Infinity;
    this.#setGauges([]);
  }

  #update(cell: Cell, nowMs: number): void {
    this.#dropEnded(cell, nowMs);
    for (const task of this.#walk.services(cell, maxVisits)) {
      this.#recordRestart(task);
      if (isIdle(task)) this.#visitService(task, nowMs);
    }
    for (const task of this.#walk.claims(cell, maxVisits)) {
      if (isIdle(task)) this.#add(task, task, nowMs);
    }
    for (const group of this.#walk.groups(cell, maxVisits)) {
      if (countWaiting(group) > 0) this.#visitGroup(group, nowMs);
    }
    const long = [...this.#waits.values()]
      .filter(({ sinceMs }) => nowMs - sinceMs >= minWaitMs);
    this.#explain(long, cell, nowMs);
    this.#lines.logEnds();
    this.#lines.logWaits(long, nowMs);
    this.#setGauges(long);
  }

  #visitService(task: Task, nowMs: number): void {
    const seenAtMs = this.#noteSeen(task.group, nowMs);
    // A run that is being stopped may go on, so its wait begins now.
    const sinceMs = task.claim?.phase === "stopping"
      ? nowMs
      : task.lastRunEnd?.atMs ?? seenAtMs;
    this.#add(task, task, sinceMs);
  }

  #visitGroup(group: TaskGroup, nowMs: number): void {
    const sinceMs = this.#noteSeen(group, nowMs);
    if (this.#waits.has(group)) return;
    const [task] = this.#search.find(group);
    if (task !== undefined) this.#add(group, task, sinceMs);
  }

  #noteSeen(group: TaskGroup, nowMs: number): number {
    const known = this.#seenAtMs.get(group);
    if (known === undefined) this.#seenAtMs.set(group, nowMs);
    return known ?? nowMs;
  }

  #add(key: Task | TaskGroup, task: Task, sinceMs: number): void {
    if (this.#waits.has(key) || this.#waits.size >= maxWaits) return;
    this.#waits.set(key, {
      task,
      isOfGroup: key !== task,
      sinceMs,
      others: [],
      explanation: undefined,
      explainedAtMs: -Infinity,
      logged: undefined,
    });
  }

  #dropEnded(cell: Cell, nowMs: number): void {
    for (const [key, wait] of this.#waits) {
      const { task, isOfGroup } = wait;
      const { group, claim } = task;
      const isLive = cell.liveJobs.has(group.job);
      const isOver = isOfGroup ? countWaiting(group) === 0 : !isIdle(task);
      // Without a claim, the task of another job is one of its group's.
      const isOfOther = !isOfGroup && claim === undefined &&
        !group.definition.isService;
      if (isLive && !isOver && !isOfOther) continue;
      this.#waits.delete(key);
      if (isOfGroup) this.#seenAtMs.delete(group);
      if (!isLive || !isOver) continue;
      const isRunning = claim?.phase === "running";
      this.#lines.end(wait, isRunning ? claim.phaseSinceMs : nowMs);
    }
  }

  /** Explains waits: services first, then those explained longest ago. */
  #explain(waits: readonly Wait[], cell: Cell, nowMs: number): void {
    const explainer = new WaitingExplainer(cell, this.leases, nowMs);
    const inTurn = [...waits].sort((a, b) =>
      Number(isService(b)) - Number(isService(a)) ||
      a.explainedAtMs - b.explainedAtMs
    );
    let groups = 0;
    for (const wait of inTurn) {
      if (wait.isOfGroup) {
        if (!explainer.maySearch || groups++ >= maxGroups) continue;
        const [task, ...others] = this.#search.find(wait.task.group);
        if (task === undefined) continue;
        wait.task = task;
        wait.others = others;
      }
      const explanation = explainer.explain(wait.task);
      if (explanation === undefined) continue;
      wait.explanation = explanation;
      wait.explainedAtMs = nowMs;
    }
  }

  /** Records, once, how long after the end of a service's run the next began. */
  #recordRestart({ lastRunEnd: end, claim, run }: Task): void {
    if (end === undefined || claim?.phase !== "running") return;
    if (run <= end.run || this.#followed.has(end)) return;
    this.#followed.add(end);
    this.metrics.recordRestart(claim.phaseSinceMs - end.atMs);
  }

  #setGauges(waits: readonly Wait[]): void {
    const counts = new Map<string, number>();
    for (const { explanation, isOfGroup, task } of waits) {
      if (explanation === undefined) continue;
      const { reason } = explanation;
      const count = isOfGroup ? countWaiting(task.group) : 1;
      counts.set(reason, (counts.get(reason) ?? 0) + count);
    }
    for (const reason of waitingReasons) {
      const count = counts.get(reason) ?? 0;
      this.metrics.setGauge("tasks_waiting", count, { reason });
    }
  }
}

function isIdle({ isDone, claim }: Task): boolean {
  return !isDone && claim?.phase !== "running";
}

function isService({ task }: Wait): boolean {
  return task.group.definition.isService;
}

function countWaiting({ unfinishedCount, claimCount }: TaskGroup): number {
  return unfinishedCount - claimCount;
}
