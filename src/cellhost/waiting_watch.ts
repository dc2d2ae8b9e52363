import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Cell } from "../core/cell/cell.ts";
import { explainWaitingTask } from "../core/cell/explain_waiting_task.ts";
import { FillerView } from "../core/cell/filler_view.ts";
import { isIsolated } from "../core/cell/is_isolated.ts";
import type { LastRunEnd } from "../core/cell/last_run_end.ts";
import type { Task } from "../core/cell/task.ts";
import type { TaskGroup } from "../core/cell/task_group.ts";
import type { WaitingExplanation } from "../core/cell/waiting_explanation.ts";
import { waitingReasons } from "../core/cell/waiting_reasons.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import type { Wait } from "./wait.ts";
import { WaitingLines } from "./waiting_lines.ts";
import { WaitingWalk } from "./waiting_walk.ts";

/** A task that has waited for longer is explained, logged and counted. */
const minWaitMs = 2_000;
const intervalMs = 500;
/** Most items of each kind that are looked at in an interval. */
const maxVisits = 2_000;
/** Most waits that are kept; further tasks are noticed when these are over. */
const maxWaits = 4_000;
/** Most searches for a worker that are explained in an interval. */
const maxSearches = 8;
/** Of a large group, so many tasks at a time are searched for waiting ones. */
const maxSearchedTasks = 1_000;
const maxNamedOfGroup = 5;

type Explain = (task: Task) => WaitingExplanation | undefined;

/** Watches which tasks do not run though their turn has come, and why. */
export class WaitingWatch {
  readonly #walk = new WaitingWalk();
  readonly #lines: WaitingLines;
  readonly #waits = new Map<Task | TaskGroup, Wait>();
  /** When each group was first seen with a waiting task. */
  readonly #seenAtMs = new WeakMap<TaskGroup, number>();
  /** The ends after which the next start has been recorded. */
  readonly #followed = new WeakSet<LastRunEnd>();
  #updatedAtMs = -Infinity;
  /** Where to search next in the tasks of large groups. */
  readonly #positions = new WeakMap<TaskGroup, number>();

  constructor(
    readonly leases: LeaseTracker,
    readonly log: Logger,
    readonly metrics: PrometheusMetrics,
  ) {
    this.#lines = new WaitingLines(log);
  }

  /** Logs and counts what waits, if the interval is over. */
  update(cell: Cell, nowMs: number): void {
    if (nowMs - this.#updatedAtMs < intervalMs) return;
    this.#updatedAtMs = nowMs;
    this.#dropEnded(cell, nowMs);
    for (const task of this.#walk.services(cell, maxVisits)) {
      this.#recordRestart(task);
      this.#visit(task, nowMs);
    }
    for (const task of this.#walk.claims(cell, maxVisits)) {
      this.#visit(task, nowMs);
    }
    for (const group of this.#walk.groups(cell, maxVisits)) {
      this.#visitGroup(group, nowMs);
    }
    this.#explainAll(cell, nowMs);
    this.#lines.logEnds();
    this.#lines.logWaits(this.#waits.values(), nowMs);
    this.#setGauges();
  }

  #visit(task: Task, nowMs: number): void {
    if (!isIdle(task)) return;
    const seenAtMs = this.#noteSeen(task.group, nowMs);
    if (this.#waits.has(task)) return;
    // A run that is being stopped may go on, so its wait begins now.
    const sinceMs = task.claim?.phase === "stopping"
      ? nowMs
      : task.lastRunEnd?.atMs ?? seenAtMs;
    this.#add(task, { task, isOfGroup: false, sinceMs });
  }

  #visitGroup(group: TaskGroup, nowMs: number): void {
    if (group.unfinishedCount <= group.claimCount) return;
    const sinceMs = this.#noteSeen(group, nowMs);
    if (this.#waits.has(group)) return;
    const task = this.#findWaiting(group)[0];
    if (task === undefined) return;
    this.#add(group, { task, isOfGroup: true, sinceMs });
  }

  #noteSeen(group: TaskGroup, nowMs: number): number {
    const known = this.#seenAtMs.get(group);
    if (known === undefined) this.#seenAtMs.set(group, nowMs);
    return known ?? nowMs;
  }

  #add(
    key: Task | TaskGroup,
    wait: Pick<Wait, "task" | "isOfGroup" | "sinceMs">,
  ): void {
    if (this.#waits.size >= maxWaits) return;
    const rest = { others: [], explanation: undefined, logged: undefined };
    this.#waits.set(key, { ...wait, ...rest });
  }

  #dropEnded(cell: Cell, nowMs: number): void {
    for (const [key, wait] of this.#waits) {
      const { task, isOfGroup } = wait;
      const { group } = task;
      const isLive = cell.liveJobs.has(group.job);
      const isOver = isOfGroup
        ? group.unfinishedCount <= group.claimCount
        : !isIdle(task);
      if (isLive && !isOver) continue;
      this.#waits.delete(key);
      if (!isLive) continue;
      const { claim } = task;
      const beganAtMs = claim?.phase === "running"
        ? claim.phaseSinceMs
        : nowMs;
      this.#lines.end(wait, beganAtMs);
    }
  }

  /** Explains what has waited for long: services first, then in turn. */
  #explainAll(cell: Cell, nowMs: number): void {
    const explain = this.#explainer(cell, nowMs);
    for (const isService of [true, false]) {
      for (const [key, wait] of this.#waits) {
        if (wait.task.group.definition.isService !== isService) continue;
        if (nowMs - wait.sinceMs < minWaitMs) continue;
        if (wait.isOfGroup) {
          const [task, ...others] = this.#findWaiting(wait.task.group);
          if (task === undefined) continue;
          wait.task = task;
          wait.others = others;
        }
        const explanation = explain(wait.task);
        if (explanation === undefined) continue;
        wait.explanation = explanation;
        if (isService || !wait.isOfGroup) continue;
        // Behind the others, so that each gets its turn.
        this.#waits.delete(key);
        this.#waits.set(key, wait);
      }
    }
  }

  /**
   * Explains tasks. Those of a group that have no claim share the explanation,
   * as the search for a worker is the dear part; it is bounded.
   */
  #explainer(cell: Cell, nowMs: number): Explain {
    const view = new FillerView(cell.pressure, nowMs);
    const shared = new Map<TaskGroup, WaitingExplanation | undefined>();
    let searches = 0;
    return (task) => {
      const { group, claim } = task;
      if (claim !== undefined) {
        const explanation = explainWaitingTask(cell, task, view);
        if (explanation === undefined) return undefined;
        const leftMs = this.leases.leftMs(claim.node);
        const inputs = { ...explanation.inputs, lease_left_ms: leftMs };
        return { ...explanation, inputs };
      }
      const isShared = !isIsolated(task) && task.run > 0;
      const known = isShared ? shared.get(group) : undefined;
      if (known !== undefined) return known;
      if (searches++ >= maxSearches) return undefined;
      const explanation = explainWaitingTask(cell, task, view);
      if (isShared) shared.set(group, explanation);
      return explanation;
    };
  }

  /** Some tasks of a group that have no claim and are not done. */
  #findWaiting(group: TaskGroup): Task[] {
    const { tasks } = group;
    const found: Task[] = [];
    const from = this.#positions.get(group) ?? 0;
    let next = from;
    for (let count = 0; count < maxSearchedTasks; count++) {
      if (count >= tasks.length || found.length > maxNamedOfGroup) break;
      const task = tasks[(from + count) % tasks.length]!;
      if (!task.isDone && task.claim === undefined) found.push(task);
      if (found.length === 0) next = from + count + 1;
    }
    this.#positions.set(group, next % tasks.length);
    return found;
  }

  /** Records, once, how long after the end of a service's run the next began. */
  #recordRestart({ lastRunEnd: end, claim, run }: Task): void {
    if (end === undefined || claim === undefined) return;
    if (claim.phase !== "running" || run <= end.run) return;
    if (this.#followed.has(end)) return;
    this.#followed.add(end);
    this.metrics.recordRestart(claim.phaseSinceMs - end.atMs);
  }

  #setGauges(): void {
    const counts = new Map<string, number>();
    for (const { explanation, isOfGroup, task } of this.#waits.values()) {
      if (explanation === undefined) continue;
      const { unfinishedCount, claimCount } = task.group;
      const count = isOfGroup ? unfinishedCount - claimCount : 1;
      const { reason } = explanation;
      counts.set(reason, (counts.get(reason) ?? 0) + count);
    }
    for (const reason of waitingReasons) {
      this.metrics.setGauge("tasks_waiting", counts.get(reason) ?? 0, {
        reason,
      });
    }
  }
}

function isIdle({ isDone, claim }: Task): boolean {
  return !isDone && claim?.phase !== "running";
}
