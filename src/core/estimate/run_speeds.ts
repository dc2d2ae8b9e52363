import type { Claim } from "../cell/claim.ts";
import type { Task } from "../cell/task.ts";
import type { RunMeasure } from "./run_measure.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";

/**
 * Progress comes in whole percents, so a run's speed is known only once this
 * much progress was due.
 */
const minDuePercent = 4;
/** What a run did longer ago says nothing of its speed now. */
const maxWindowMs = 1_600;
/** A filler with a smaller share of its CPU tells too little. */
const minCpuShare = 0.2;
/** A run's own earlier speed counts once it has done this share of its work. */
const minOwnPercent = 10;
/** A run that needs this many times what its peers need is a long one. */
const longFactor = 2;

/** A run's speed since its last sample, as a multiple of the expected one. */
interface RunSpeed {
  /** Against what it did before, and what the tasks of its step take. */
  readonly speed: number;
  /** Against what it did before alone; undefined if that is not known. */
  readonly ownSpeed: number | undefined;
  /** The time of work that the sample covers. */
  readonly weightMs: number;
}

interface Mark {
  readonly percent: number;
  readonly workedMs: number;
  readonly atMs: number;
}

/** Samples the speeds of runs from their progress. */
export class RunSpeeds {
  readonly #marks = new WeakMap<Claim, Mark>();
  /** Runs that took long at an even speed on a worker that was not slow. */
  readonly #longRuns = new WeakSet<Claim>();

  constructor(readonly estimator: RunTimeEstimator) {}

  /**
   * The speed of a task's run since it was last sampled, if it is known. On a
   * worker that is not suspected of being slow, a run that is as slow as before
   * is a long one; on a suspect, the worker may have been slow all the time.
   */
  sample(task: Task, isSuspect: boolean): RunSpeed | undefined {
    const { claim } = task;
    const measure = this.estimator.meter.measureOf(task);
    if (claim?.phase !== "running" || measure === undefined) return undefined;
    const mark = this.#marks.get(claim);
    const { percent, workedMs, atMs, cpuShare } = measure;
    const isStale = mark === undefined || mark.workedMs > workedMs ||
      atMs - mark.atMs > maxWindowMs || cpuShare < minCpuShare;
    if (isStale) {
      this.#marks.set(claim, { percent, workedMs, atMs });
      return undefined;
    }
    const weightMs = workedMs - mark.workedMs;
    const ownMs = ownTimeMs(measure, mark);
    const peersMs = this.estimator.knownMs(task.group);
    const isLong = this.#longRuns.has(claim);
    if (
      !isSuspect && ownMs !== undefined &&
      ownMs > longFactor * (peersMs ?? Infinity)
    ) this.#longRuns.add(claim);
    const timeMs = ownMs !== undefined && (!isSuspect || isLong)
      ? ownMs
      : Math.min(ownMs ?? Infinity, peersMs ?? Infinity);
    if (weightMs * 100 / timeMs < minDuePercent) return undefined;
    this.#marks.set(claim, { percent, workedMs, atMs });
    const doneShare = (percent - mark.percent) / 100;
    return {
      speed: doneShare * timeMs / weightMs,
      ownSpeed: ownMs === undefined ? undefined : doneShare * ownMs / weightMs,
      weightMs,
    };
  }
}

/** A run's whole time by what it did before the mark. */
function ownTimeMs(
  { firstPercent }: RunMeasure,
  mark: Mark,
): number | undefined {
  const percent = mark.percent - firstPercent;
  return percent < minOwnPercent ? undefined : mark.workedMs * 100 / percent;
}
