import { criticalPaths } from "../cell/critical_paths.ts";
import type { Job } from "../cell/job.ts";
import type { Task } from "../cell/task.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import type { Worker } from "../cell/worker.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { jsonBytes } from "../check/json_bytes.ts";
import { takeNewest } from "../interfere/take_newest.ts";
import { GroupTimes } from "./group_times.ts";
import { kindOf } from "./kind_of.ts";
import { KindTimes } from "./kind_times.ts";
import { RunMeter } from "./run_meter.ts";
import type { RunTimeRow } from "./run_time_row.ts";
import type { RunTimes } from "./run_times.ts";

/** Bounds the row of what was learned to some 50 kB. */
const maxKinds = 128;
/** A kind with samples of fewer steps than this counts as never seen. */
const minKindWeight = 1;
/** A kind with samples of so many steps serves to compare speeds. */
const wellKnownWeight = 3;
/** Weight of a step's tasks in the moving averages of errors. */
const errorWeight = 0.1;
/** How often new samples take effect, which bounds the cost of urgencies. */
const revisionIntervalMs = 200;

/**
 * Learns how long tasks take, for loads whose declared run times are off. What
 * the tasks of a group have shown counts before what their kind has.
 */
export class RunTimeEstimator implements RunTimes {
  /** How many samples it has learned from. */
  sampleCount = 0;
  /** Mean errors of declared and of learned times, as factors. */
  readonly errors = { declared: 1, learned: 1 };
  readonly meter = new RunMeter();
  readonly #kinds = new Map<string, KindTimes>();
  readonly #groups = new WeakMap<TaskGroup, GroupTimes>();
  /** Estimates of the current revision. */
  #expectedMs = new WeakMap<TaskGroup, number>();
  #pathsMs = new WeakMap<Job, readonly number[]>();
  #revisedAtMs = -Infinity;

  /** Adds the report on a worker's runs. */
  observe(
    { claims }: Worker,
    runs: ReadonlyMap<TaskName, RunStatus>,
    nowMs: number,
  ): void {
    for (const task of claims.values()) {
      const status = runs.get(task.name);
      if (status === undefined || status.run !== task.run) continue;
      this.meter.observe(task, status, nowMs);
      const measure = this.meter.measureOf(task);
      if (measure !== undefined) {
        this.#timesOf(task.group).observe(task.index, measure);
      }
    }
    if (nowMs - this.#revisedAtMs < revisionIntervalMs) return;
    this.#revisedAtMs = nowMs;
    this.#expectedMs = new WeakMap();
    this.#pathsMs = new WeakMap();
  }

  /** Learns from a task whose run is done; `afterMs`: see `RunMeter`. */
  recordDone(task: Task, nowMs: number, afterMs: number): void {
    const { group, index } = task;
    const actualMs = this.meter.doneMs(task, nowMs, afterMs);
    if (actualMs === undefined || actualMs <= 0) return;
    this.sampleCount += 1;
    this.#updateErrors(group, actualMs);
    this.#timesOf(group).record(index, actualMs);
    // The tasks of a step share its declared time, so together they count once.
    const { expectedMs, count } = group.definition;
    this.#kindOf(group).learn(expectedMs, actualMs, 1 / count);
  }

  expectedMs(group: TaskGroup): number {
    const known = this.#expectedMs.get(group);
    if (known !== undefined) return known;
    const ms = this.#groups.get(group)?.typicalMs(group.definition.count) ??
      this.quantileMs(group, 0.5);
    this.#expectedMs.set(group, ms);
    return ms;
  }

  criticalPathsMs(job: Job): readonly number[] {
    const known = this.#pathsMs.get(job);
    if (known !== undefined) return known;
    const [occurrence] = job.openOccurrences.values();
    const paths = occurrence === undefined
      ? job.criticalPathsMs
      : criticalPaths(
        job.definition.steps,
        occurrence.groups.map((group) => this.expectedMs(group)),
      );
    this.#pathsMs.set(job, paths);
    return paths;
  }

  /** The time that tasks of the group take, if any have shown it. */
  knownMs(group: TaskGroup): number | undefined {
    const own = this.#groups.get(group)?.typicalMs(group.definition.count);
    if (own !== undefined) return own;
    const kind = this.#kinds.get(kindOf(group));
    if (kind === undefined || kind.weight < wellKnownWeight) return undefined;
    return kind.quantileMs(group.definition.expectedMs, 0.5);
  }

  /** The time within which the share of tasks of the group's kind end. */
  quantileMs(group: TaskGroup, share: number): number {
    const { expectedMs } = group.definition;
    const kind = this.#kinds.get(kindOf(group));
    if (kind === undefined || kind.weight < minKindWeight) return expectedMs;
    return expectedMs > 0 ? kind.quantileMs(expectedMs, share) : expectedMs;
  }

  /** How far the declared times of the group's kind are trusted, 0 to 1. */
  trustIn(group: TaskGroup): number {
    return this.#kinds.get(kindOf(group))?.trust ?? 1;
  }

  /** Returns what was learned, for `restore`, in at most so many bytes of JSON. */
  encode(maxBytes = Infinity): RunTimeRow {
    const kinds = [...this.#kinds].map(([kind, times]) => times.encode(kind));
    return { kinds: takeNewest(kinds, maxBytes - jsonBytes({ kinds: [] })) };
  }

  /** Adds what an earlier keeper learned. */
  restore({ kinds }: RunTimeRow): void {
    for (const row of kinds.slice(-maxKinds)) {
      const times = new KindTimes();
      times.restore(row);
      this.#kinds.set(row[0], times);
    }
  }

  #updateErrors(group: TaskGroup, actualMs: number): void {
    const { errors } = this;
    const { expectedMs, count } = group.definition;
    const learnedMs = this.quantileMs(group, 0.5);
    const errorOf = (ms: number) => Math.exp(Math.abs(Math.log(ms / actualMs)));
    const weight = errorWeight / count;
    errors.declared += (errorOf(expectedMs) - errors.declared) * weight;
    errors.learned += (errorOf(learnedMs) - errors.learned) * weight;
  }

  #timesOf(group: TaskGroup): GroupTimes {
    const known = this.#groups.get(group);
    if (known !== undefined) return known;
    const times = new GroupTimes();
    this.#groups.set(group, times);
    return times;
  }

  /** The kind's times; the kind learned longest ago gives way to a new one. */
  #kindOf(group: TaskGroup): KindTimes {
    const key = kindOf(group);
    const times = this.#kinds.get(key) ?? new KindTimes();
    this.#kinds.delete(key);
    const [oldest] = this.#kinds.keys();
    if (this.#kinds.size >= maxKinds && oldest !== undefined) {
      this.#kinds.delete(oldest);
    }
    this.#kinds.set(key, times);
    return times;
  }
}
