import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { CalmTracker } from "./calm_tracker.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import type { RunnerStandIn } from "./runner_stand_in.ts";
import type { SoakJob } from "./soak_job.ts";
import type { SoakProcess } from "./soak_process.ts";
import { taskNamesOf } from "./task_names_of.ts";

/**
 * The users' rule for a task that lasts: from `sinceLastRunMs` after its last
 * run it is never without one for `withoutRunMs` with room for it, if that
 * time and the `calmBeforeMs` before it are calm.
 */
const bound = {
  sinceLastRunMs: 6_000,
  withoutRunMs: 3_000,
  calmBeforeMs: 4_000,
};

interface Wait {
  /** When the last run ended, or the job was accepted. */
  sinceMs: number;
  /** Since when there has been room for it all the while. */
  roomSinceMs: number | undefined;
  isReported: boolean;
}

interface BrokenWait {
  readonly task: TaskName;
  readonly job: SoakJob;
  readonly line: string;
}

/** Checks that tasks that last run again within the users' bound. */
export class LastingChecker {
  readonly broken: BrokenWait[] = [];
  /** The longest time without a run with room in calm, after the last run. */
  longestCalmWaitMs = 0;
  readonly #waits = new Map<TaskName, Wait>();

  constructor(
    readonly checker: GuaranteeChecker,
    readonly calm: CalmTracker,
    readonly runners: readonly RunnerStandIn[],
    /** The sidecars, in the order of their runners. */
    readonly sidecars: readonly SoakProcess[],
  ) {}

  /** Looks at every task; called some ten times a second. */
  observe(): void {
    const nowMs = performance.now();
    for (const job of this.checker.jobs.values()) {
      if (!job.isAccepted || job.isCancelled) continue;
      for (const [index, step] of job.steps.entries()) {
        if (!step.lasts) continue;
        const names = taskNamesOf(job, index);
        const siblings = new Set<string>(names);
        for (const task of names) {
          const hasRoom = this.#hasRoom(step, siblings);
          this.#observeTask(task, job, hasRoom, nowMs);
        }
      }
    }
  }

  #observeTask(
    task: TaskName,
    job: SoakJob,
    hasRoom: boolean,
    nowMs: number,
  ): void {
    const wait = this.#waits.get(task);
    if (wait === undefined || this.checker.isRunning(task)) {
      this.#waits.set(task, {
        sinceMs: nowMs,
        roomSinceMs: undefined,
        isReported: false,
      });
      return;
    }
    wait.roomSinceMs = hasRoom ? wait.roomSinceMs ?? nowMs : undefined;
    if (wait.roomSinceMs === undefined) return;
    const calmSinceMs = this.calm.sinceMs;
    const fromMs = Math.max(
      wait.sinceMs + bound.sinceLastRunMs,
      wait.roomSinceMs,
      calmSinceMs + bound.calmBeforeMs,
    );
    if (nowMs > calmSinceMs + bound.calmBeforeMs) {
      const waitedMs = nowMs - Math.max(wait.sinceMs, wait.roomSinceMs);
      this.longestCalmWaitMs = Math.max(this.longestCalmWaitMs, waitedMs);
    }
    if (wait.isReported || nowMs - fromMs < bound.withoutRunMs) return;
    wait.isReported = true;
    const sinceMs = (thenMs: number) => Math.round(nowMs - thenMs);
    this.broken.push({
      task,
      job,
      line: `waiting task: ${task}, no run for ${sinceMs(wait.sinceMs)} ms, ` +
        `room for ${sinceMs(wait.roomSinceMs)} ms, ` +
        `calm for ${sinceMs(calmSinceMs)} ms`,
    });
  }

  #hasRoom(
    { cpuMilli, mostPerRunner = 0 }: SoakJob["steps"][number],
    siblings: ReadonlySet<string>,
  ): boolean {
    return this.runners.some((runner, index) => {
      const isUp = runner.isServing && this.sidecars[index]?.isRunning;
      if (!isUp || runner.freeMilli < cpuMilli) return false;
      if (mostPerRunner === 0) return true;
      let beside = 0;
      for (const task of runner.activeTasks) {
        if (siblings.has(task)) beside += 1;
      }
      return beside < mostPerRunner;
    });
  }
}
