import type { TaskId } from "../../src/schema/task_id.ts";
import { addResources } from "../../src/core/resources/add_resources.ts";
import { fits } from "../../src/core/resources/fits.ts";
import { noResources } from "../../src/core/resources/no_resources.ts";
import type { CellSimulation } from "./cell_simulation.ts";

/**
 * Checks that no task runs on two workers, that no attempt runs in two places,
 * that no worker exceeds its capacity and that no accepted job is lost. It
 * reads the workers and the fold of the log, not the state of any keeper.
 */
export class Invariants {
  /** Number of checks so far. */
  checks = 0;
  /** Minimum virtual time between checks; 0 checks after every event. */
  checkIntervalMs = 0;
  /** Worker-seconds in which tasks used more CPU than their worker has. */
  cpuOveruseSeconds = 0;
  #checkedAtMs = 0;
  /** The worker and boot on which each attempt ran. */
  readonly #placeOfAttempt = new Map<string, string>();

  constructor(readonly simulation: CellSimulation) {}

  /** Throws if an invariant does not hold. */
  check(): void {
    const { nowMs } = this.simulation.eventQueue;
    const elapsedMs = nowMs - this.#checkedAtMs;
    if (elapsedMs < this.checkIntervalMs) return;
    this.#checkedAtMs = nowMs;
    this.checks += 1;
    this.#addOveruse(elapsedMs);
    this.#checkWorkers();
    this.#checkLedger();
    this.#checkAcceptedJobs();
  }

  #checkWorkers(): void {
    const nowMs = this.simulation.eventQueue.nowMs;
    const workerOfTask = new Map<TaskId, string>();
    for (const worker of this.simulation.workers.values()) {
      if (!worker.isAlive || worker.isPaused) continue;
      worker.advance(nowMs);
      let used = noResources;
      for (const { id, task } of worker.model.runningAttempts()) {
        used = addResources(used, task.reserved);
        const other = workerOfTask.get(id);
        if (other !== undefined) {
          this.#fail(`${id} runs on ${other} and ${worker.id}`);
        }
        workerOfTask.set(id, worker.id);
        this.#checkAttempt(
          `${id}@${task.attempt}`,
          worker.model.bootId,
          worker.id,
        );
      }
      if (!fits(used, worker.capacity)) this.#fail(`${worker.id} is overfull`);
    }
  }

  #addOveruse(elapsedMs: number): void {
    for (const { model, capacity } of this.simulation.workers.values()) {
      let cpuMilli = 0;
      for (const { task } of model.runningAttempts()) {
        cpuMilli += task.input.usesCpuMilli ?? task.reserved.cpuMilli;
      }
      if (cpuMilli > capacity.cpuMilli) {
        this.cpuOveruseSeconds += elapsedMs / 1_000;
      }
    }
  }

  #checkAttempt(attempt: string, bootId: string, worker: string): void {
    const place = `${worker} ${bootId}`;
    const earlier = this.#placeOfAttempt.get(attempt);
    if (earlier !== undefined && earlier !== place) {
      this.#fail(`${attempt} ran on ${earlier} and on ${place}`);
    }
    this.#placeOfAttempt.set(attempt, place);
  }

  #checkLedger(): void {
    const { truth } = this.simulation.log;
    for (const worker of truth.workers.values()) {
      let used = noResources;
      for (const id of worker.tasks) {
        const task = truth.tasks.get(id);
        if (task?.worker !== worker.id) {
          this.#fail(`${id} is not on ${worker.id}`);
        }
        used = addResources(used, task?.reserved ?? noResources);
      }
      if (!fits(used, worker.capacity)) {
        this.#fail(`the ledger overfills ${worker.id}`);
      }
      if (JSON.stringify(used) !== JSON.stringify(worker.used)) {
        this.#fail(`the ledger's use of ${worker.id} does not add up`);
      }
    }
  }

  #checkAcceptedJobs(): void {
    const { truth, forgotten } = this.simulation.log;
    for (const id of this.simulation.acceptedJobs) {
      if (!truth.jobs.has(id) && !forgotten.has(id)) {
        this.#fail(`accepted job ${id} has vanished`);
      }
    }
  }

  #fail(violation: string): never {
    const nowMs = Math.round(this.simulation.eventQueue.nowMs);
    const notes = this.simulation.traceLines.slice(-20).join("\n");
    throw new Error(
      `invariant broken at ${nowMs} ms, seed ${this.simulation.options.seed}: ${violation}\n${notes}`,
    );
  }
}
