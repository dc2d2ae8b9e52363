import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import { ChangeLog } from "./change_log.ts";
import type { Cell } from "./cell.ts";
import { chooseWorker } from "./choose_worker.ts";
import { DemandClass } from "./demand_class.ts";
import { FillerView } from "./filler_view.ts";
import { isIsolated } from "./is_isolated.ts";
import { PressureModel } from "../interfere/pressure_model.ts";
import type { PlacementMode } from "./placement_mode.ts";
import { reservedResources } from "./reserved_resources.ts";
import type { Task } from "./task.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Worker } from "./worker.ts";
import { WorkerState } from "./worker_state.ts";

/** Classes that were not looked up for this long are dropped. */
const classRetentionMs = 10_000;

type Tickets = ReadonlyMap<RunnerLife, string> | undefined;

interface GroupClasses {
  readonly pool: string;
  readonly strict: DemandClass;
  readonly relaxed: DemandClass;
}

interface GangAttempt {
  readonly position: number;
  readonly pool: string;
  readonly mayRelax: boolean;
  readonly atMs: number;
}

/**
 * Knows for each class of demand which workers may have room, so that waiting
 * tasks are compared only with workers that may have gained capacity since. It
 * relies on claims never making room for another task. Whatever else decides
 * about eligibility must be compared in `WorkerState`, distinguish classes in
 * `classKey`, or be announced by `noteCapacityChange`.
 */
export class DemandIndex {
  /**
   * How long a worker without room is left out at most, in case that a change
   * was missed: a job must not wait for ever.
   */
  recheckMs = 500;
  /** The workers' figures, valid until the next update. */
  view = new FillerView(new PressureModel(), 0);
  readonly #states = new Map<Worker, WorkerState>();
  /** The changes that may make room for any task, and for fillers. */
  readonly #changes = new ChangeLog();
  readonly #fillerChanges = new ChangeLog();
  readonly #classes = new Map<string, DemandClass>();
  #classesByGroup = new WeakMap<TaskGroup, GroupClasses>();
  #gangAttempts = new WeakMap<TaskGroup, GangAttempt>();
  /** How many workers of each pool were reconciled at the last update. */
  readonly #workerCounts = new Map<string, number>();
  #sweptAtMs = -Infinity;

  /**
   * Makes every waiting task be compared with all workers again. To be called
   * when tasks may have become eligible for workers by anything that
   * `WorkerState` does not compare.
   */
  noteCapacityChange(): void {
    this.#changes.clear();
    this.#fillerChanges.clear();
  }

  /** Finds the workers that may have gained capacity since the last call. */
  update(cell: Cell, nowMs: number): void {
    const { changeCount } = cell.pressure;
    this.view = new FillerView(cell.pressure, nowMs);
    this.#workerCounts.clear();
    for (const worker of cell.workers.values()) {
      this.#countWorker(worker);
      let state = this.#states.get(worker);
      if (state === undefined) {
        state = new WorkerState(worker);
        this.#states.set(worker, state);
      }
      const gain = state.update(nowMs, changeCount);
      if (gain === "nothing") continue;
      if (gain === "all") this.#changes.add(worker);
      this.#fillerChanges.add(worker);
    }
    this.#dropUnused(nowMs);
  }

  /** How many workers of a pool are reconciled. */
  workerCountOf(pool: string): number {
    return this.#workerCounts.get(pool) ?? 0;
  }

  /** Whether a worker has room for a task of the group. */
  hasWorker(group: TaskGroup, queue: Queue, mode: PlacementMode): boolean {
    const { nowMs } = this.view;
    const demandClass = this.#classOf(group, queue, nowMs, mode);
    const { candidates } = demandClass;
    demandClass.refresh(this.#states.keys(), nowMs, this.recheckMs);
    const task = group.tasks.find((each) => !isIsolated(each));
    if (task === undefined) return group.tasks.length > 0;
    for (const worker of candidates) {
      const chosen = chooseWorker(task, queue, [worker], this.view, mode);
      if (chosen !== undefined) return true;
      candidates.delete(worker);
    }
    return false;
  }

  /** Chooses the best worker for a task, as a scan of all workers would. */
  choose(
    task: Task,
    queue: Queue,
    mode: PlacementMode,
    tickets: Tickets,
  ): Worker | undefined {
    if (isIsolated(task)) {
      const workers = this.#states.keys();
      return chooseWorker(task, queue, workers, this.view, mode, tickets);
    }
    const { nowMs } = this.view;
    const demandClass = this.#classOf(task.group, queue, nowMs, mode);
    const { candidates } = demandClass;
    demandClass.refresh(this.#states.keys(), nowMs, this.recheckMs, tickets);
    return chooseWorker(
      task,
      queue,
      candidates,
      this.view,
      mode,
      tickets,
      (worker) => candidates.delete(worker),
    );
  }

  /** Whether anything has changed since the gang last found no room. */
  mayTryGang(
    group: TaskGroup,
    queue: Queue,
    nowMs: number,
    mayRelax: boolean,
  ): boolean {
    const last = this.#gangAttempts.get(group);
    return last === undefined || last.position !== this.#logOf(group).end ||
      last.pool !== queue.pool || last.mayRelax !== mayRelax ||
      nowMs - last.atMs >= this.recheckMs;
  }

  /** Notes that a gang found no room for all its tasks. */
  noteGangUnplaced(
    group: TaskGroup,
    { pool }: Queue,
    nowMs: number,
    mayRelax: boolean,
  ): void {
    const position = this.#logOf(group).end;
    this.#gangAttempts.set(group, { position, pool, mayRelax, atMs: nowMs });
  }

  #countWorker({ isReconciled, report }: Worker): void {
    if (!isReconciled || report === undefined) return;
    const { pool } = report;
    this.#workerCounts.set(pool, this.workerCountOf(pool) + 1);
  }

  #logOf({ definition }: TaskGroup): ChangeLog {
    return definition.isFiller ? this.#fillerChanges : this.#changes;
  }

  #classOf(
    group: TaskGroup,
    queue: Queue,
    nowMs: number,
    mode: PlacementMode,
  ): DemandClass {
    let known = this.#classesByGroup.get(group);
    if (known?.pool !== queue.pool) {
      known = this.#createClasses(group, queue);
      this.#classesByGroup.set(group, known);
    }
    const demandClass = known[mode];
    demandClass.usedAtMs = nowMs;
    return demandClass;
  }

  #createClasses(group: TaskGroup, queue: Queue): GroupClasses {
    const { pool, advice } = queue;
    // Tickets, and how many tasks share a worker, concern one group only.
    if (advice !== undefined || group.definition.mostPerWorker > 0) {
      const log = this.#logOf(group);
      const strict = new DemandClass(log);
      return { pool, strict, relaxed: new DemandClass(log) };
    }
    const key = classKey(group, pool);
    const strict = this.#sharedClass(`${key},strict`, group);
    const relaxed = this.#sharedClass(`${key},relaxed`, group);
    return { pool, strict, relaxed };
  }

  #sharedClass(key: string, group: TaskGroup): DemandClass {
    const known = this.#classes.get(key);
    if (known !== undefined) return known;
    const created = new DemandClass(this.#logOf(group));
    this.#classes.set(key, created);
    return created;
  }

  #dropUnused(nowMs: number): void {
    if (nowMs - this.#sweptAtMs < classRetentionMs) return;
    this.#sweptAtMs = nowMs;
    for (const [key, { usedAtMs }] of this.#classes) {
      if (nowMs - usedAtMs >= classRetentionMs) this.#classes.delete(key);
    }
  }
}

/** Groups of equal keys fit the same workers, but for isolated tasks. */
function classKey({ definition }: TaskGroup, pool: string): string {
  const { isFiller, resources, label, image } = definition;
  const { cpuMilli, memoryBytes, accelerators } = isFiller
    ? resources
    : reservedResources(definition);
  const filler = isFiller ? image ?? "" : undefined;
  return JSON.stringify([
    pool,
    isFiller,
    cpuMilli,
    memoryBytes,
    accelerators,
    label,
    filler,
  ]);
}
