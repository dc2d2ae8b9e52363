import type { CellEffect } from "../cell/cell_effect.ts";
import type { Job } from "../cell/job.ts";
import type { Task } from "../cell/task.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import type { Urgency } from "../cell/urgency.ts";
import type { Worker } from "../cell/worker.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunOutcome } from "../jobs/run_outcome.ts";

/** How many tasks run at once of a step that has shown only own faults. */
const limitedWidth = 2;
/**
 * Own faults on fewer workers limit nothing: a worker that has just begun to
 * fail everything looks the same.
 */
const minFaultyWorkers = 2;
/** From this share of attempts lost to own faults, a job goes last. */
const lostShare = 1 / 3;
/** A worker is known to run others' work well if it did this recently. */
const goodForMs = 10_000;

interface WorkerEnds {
  /** The newest ends of two jobs. */
  ends: {
    readonly job: Job;
    readonly isDone: boolean;
    readonly atMs: number;
  }[];
  /** The groups blamed for failures here since a run was last done. */
  readonly blamed: Set<TaskGroup>;
}

/**
 * Limits jobs that cannot succeed: of a step that fails by its own fault, few
 * tasks run until one of them is done, and a job that loses a third of its
 * attempts so goes last. A failure is a step's own fault if the worker runs the
 * work of other jobs well; it is taken back if the worker then fails theirs.
 */
export class AttemptWidth {
  readonly #faults = new WeakMap<TaskGroup, Map<NodeId, number>>();
  readonly #workers = new WeakMap<Worker, WorkerEnds>();

  /** Records how a run ended, before the task is updated. */
  *recordEnd(
    worker: Worker,
    { group }: Task,
    outcome: RunOutcome,
    nowMs: number,
  ): Generator<CellEffect, void> {
    if (outcome !== "done" && outcome !== "failed") return;
    const { job } = group;
    const known = this.#workers.get(worker) ??
      { ends: [], blamed: new Set<TaskGroup>() };
    this.#workers.set(worker, known);
    const other = known.ends.find((end) => end.job !== job);
    const isDone = outcome === "done";
    if (isDone) known.blamed.clear();
    else if (other?.isDone && nowMs - other.atMs <= goodForMs) {
      yield* this.#blame(worker, group, known);
    } else this.#takeBack(worker, group, known);
    const others = known.ends.filter((end) => end.job !== job);
    known.ends = [{ job, isDone, atMs: nowMs }, ...others].slice(0, 2);
  }

  /** Whether another task of the group may start now. */
  mayStart(group: TaskGroup): boolean {
    if (!this.#isLimited(group)) return true;
    let running = 0;
    for (const { claim } of group.tasks) {
      if (claim !== undefined) running += 1;
    }
    return running < limitedWidth;
  }

  /** The urgency of a group, which is the lowest if its job mostly fails. */
  demoted(urgency: Urgency): Urgency {
    const { group } = urgency;
    if (!this.#isLimited(group)) return urgency;
    let attempts = 0;
    for (const { run } of group.job.tasks()) attempts += run;
    let faults = 0;
    for (const count of this.#faults.get(group)!.values()) faults += count;
    return faults < attempts * lostShare ? urgency : { ...urgency, band: 3 };
  }

  #isLimited(group: TaskGroup): boolean {
    const faults = this.#faults.get(group);
    if (faults === undefined || faults.size < minFaultyWorkers) return false;
    const { isService, isGang, count } = group.definition;
    return !isService && !isGang && group.unfinishedCount === count;
  }

  *#blame(
    { node }: Worker,
    group: TaskGroup,
    { blamed }: WorkerEnds,
  ): Generator<CellEffect, void> {
    blamed.add(group);
    const faults = this.#faults.get(group) ?? new Map<NodeId, number>();
    this.#faults.set(group, faults);
    const wasLimited = this.#isLimited(group);
    faults.set(node, (faults.get(node) ?? 0) + 1);
    if (wasLimited || !this.#isLimited(group)) return;
    yield {
      kind: "note",
      event: "width_limited",
      fields: {
        job: group.job.definition.id,
        step: group.step,
        workers: faults.size,
        width: limitedWidth,
      },
    };
  }

  /** The worker fails the work of several jobs, so none of them is blamed. */
  #takeBack(
    { node }: Worker,
    group: TaskGroup,
    { blamed }: WorkerEnds,
  ): void {
    for (const each of blamed) {
      if (each.job !== group.job) this.#faults.get(each)?.delete(node);
    }
  }
}
