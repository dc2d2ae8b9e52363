import { isStartSettled } from "../core/cell/is_start_settled.ts";
import type { Cell } from "../core/cell/cell.ts";
import { explainWaitingTask } from "../core/cell/explain_waiting_task.ts";
import { FillerView } from "../core/cell/filler_view.ts";
import { isIsolated } from "../core/cell/is_isolated.ts";
import type { Task } from "../core/cell/task.ts";
import type { TaskGroup } from "../core/cell/task_group.ts";
import type { WaitingExplanation } from "../core/cell/waiting_explanation.ts";
import type { LeaseTracker } from "./lease_tracker.ts";

/** Most searches for a worker that are explained at one time. */
const maxSearches = 8;

/**
 * Explains waits at one time. Tasks of a group without a claim share the
 * explanation, since the search for a worker is the dear part; it is bounded.
 */
export class WaitingExplainer {
  readonly #view: FillerView;
  readonly #began = new Map<TaskGroup, WaitingExplanation | undefined>();
  readonly #fresh = new Map<TaskGroup, WaitingExplanation | undefined>();
  #searchCount = 0;

  constructor(
    readonly cell: Cell,
    readonly leases: LeaseTracker,
    nowMs: number,
  ) {
    this.#view = new FillerView(cell.pressure, nowMs);
  }

  /** Whether another search for a worker may be explained. */
  get maySearch(): boolean {
    return this.#searchCount < maxSearches;
  }

  /** Why a task waits; undefined if it does not, or the bound is reached. */
  explain(task: Task): WaitingExplanation | undefined {
    const { group, claim } = task;
    if (claim !== undefined) {
      const explanation = explainWaitingTask(this.cell, task, this.#view);
      if (explanation === undefined) return undefined;
      const leftMs = this.leases.leftMs(claim.node, isStartSettled(task));
      const inputs = { ...explanation.inputs, lease_left_ms: leftMs };
      return { ...explanation, inputs };
    }
    // Begins are limited only for tasks that never ran.
    const shared = task.run > 0 ? this.#began : this.#fresh;
    const mayShare = !isIsolated(task);
    if (mayShare && shared.has(group)) return shared.get(group);
    if (!this.maySearch) return undefined;
    this.#searchCount += 1;
    const explanation = explainWaitingTask(this.cell, task, this.#view);
    if (mayShare) shared.set(group, explanation);
    return explanation;
  }
}
