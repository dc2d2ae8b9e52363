import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { ServiceTask } from "./service_task.ts";

/** The users' bounds for tasks that last: the rule LOST. */
const afterRunMs = 6_000;
const idleMs = 3_000;
/** For so long before these 3 s nothing was impaired. */
const calmBeforeMs = 4_000;

/** Whether a worker has room for a task, as far as the runners show. */
type HasRoom = (worker: string, task: ServiceTask) => boolean;

interface Wait {
  /** When its last run ended, or when it was submitted. */
  readonly sinceMs: number;
  /** Since when each worker has had room for it. */
  readonly roomSinceMs: Map<string, number>;
}

/**
 * Checks that each task of a service runs while a worker has room for it, but
 * for some seconds after its last run, and around faults.
 */
export class ServiceChecker {
  #checks = 0;
  readonly #waits = new Map<TaskName, Wait>();
  readonly #ran = new Set<TaskName>();
  #calmSinceMs = 0;

  /** Notes a fault, or that one is still active. */
  disturb(nowMs: number): void {
    this.#calmSinceMs = nowMs;
  }

  /** Returns how many checks were made since the last call. */
  takeChecks(): number {
    const checks = this.#checks;
    this.#checks = 0;
    return checks;
  }

  /** Returns the tasks that have waited for too long. */
  *check(
    tasks: Iterable<ServiceTask>,
    workers: readonly string[],
    hasRoom: HasRoom,
    nowMs: number,
  ): Generator<{ readonly name: TaskName; readonly waitMs: number }> {
    for (const task of tasks) {
      const { name, isRunning, submittedAtMs } = task;
      if (isRunning) {
        this.#ran.add(name);
        this.#waits.delete(name);
        continue;
      }
      const wait = this.#waits.get(name) ?? {
        sinceMs: this.#ran.has(name) ? nowMs : submittedAtMs,
        roomSinceMs: new Map<string, number>(),
      };
      this.#waits.set(name, wait);
      const { roomSinceMs, sinceMs } = wait;
      for (const worker of workers) {
        if (!hasRoom(worker, task)) roomSinceMs.delete(worker);
        else if (!roomSinceMs.has(worker)) roomSinceMs.set(worker, nowMs);
      }
      const fromMs = Math.max(
        sinceMs + afterRunMs,
        this.#calmSinceMs + calmBeforeMs,
        Math.min(...roomSinceMs.values()),
      );
      this.#checks += 1;
      if (nowMs - fromMs < idleMs) continue;
      yield { name, waitMs: nowMs - sinceMs };
    }
  }
}
