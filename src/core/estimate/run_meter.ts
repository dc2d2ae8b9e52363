import type { Claim } from "../cell/claim.ts";
import type { Task } from "../cell/task.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { RunMeasure } from "./run_measure.ts";

/** A gap between reports of more than this is not known to be work. */
const maxGapMs = 3_000;

/**
 * Measures runs from their reports. It counts from the first report, since the
 * start of a run that an earlier keeper ordered is not known. Runs restored
 * from a checkpoint are left out: their progress rests while they load it.
 */
export class RunMeter {
  readonly #measures = new WeakMap<Claim, RunMeasure>();

  /** Adds a report on a task's run. */
  observe(task: Task, status: RunStatus, nowMs: number): void {
    const { claim } = task;
    if (claim === undefined || !isMeasured(task)) return;
    const measure = this.#measures.get(claim);
    const cpuShare = cpuShareOf(task, status);
    if (measure === undefined || nowMs - measure.atMs > maxGapMs) {
      const { percent } = status;
      const first = { firstPercent: percent, percent, workedMs: 0 };
      this.#measures.set(claim, { ...first, atMs: nowMs, cpuShare });
      return;
    }
    measure.workedMs += (nowMs - measure.atMs) * cpuShare;
    measure.percent = status.percent;
    measure.atMs = nowMs;
    measure.cpuShare = cpuShare;
  }

  /** Returns what is known of a task's run, if it was reported. */
  measureOf({ claim }: Task): RunMeasure | undefined {
    return claim === undefined ? undefined : this.#measures.get(claim);
  }

  /**
   * Returns the whole time of a run that is done now, as far as it is known.
   * One that was never reported counts only if it began after a time: claims
   * that a new keeper has restored do not tell when their runs began.
   */
  doneMs(task: Task, nowMs: number, afterMs: number): number | undefined {
    const measure = this.measureOf(task);
    const { claim } = task;
    if (claim === undefined || !isMeasured(task)) return undefined;
    if (measure === undefined) {
      const isKnown = claim.phaseSinceMs > afterMs &&
        !task.group.definition.isFiller;
      return isKnown ? nowMs - claim.phaseSinceMs : undefined;
    }
    const { firstPercent, workedMs, atMs, cpuShare } = measure;
    if (firstPercent >= 100 || nowMs - atMs > maxGapMs) return undefined;
    const allMs = workedMs + (nowMs - atMs) * cpuShare;
    return allMs / (1 - firstPercent / 100);
  }
}

function isMeasured({ claim, group }: Task): boolean {
  const { isService, isGang, expectedMs } = group.definition;
  return !isService && !isGang && expectedMs > 0 &&
    claim?.startCheckpoint === "";
}

function cpuShareOf({ group }: Task, { figure }: RunStatus): number {
  const { isFiller, resources } = group.definition;
  if (!isFiller) return 1;
  return Math.min(1, figure / Math.max(1, resources.cpuMilli));
}
