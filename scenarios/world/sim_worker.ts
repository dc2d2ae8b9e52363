import type { Labels } from "../../src/schema/labels.ts";
import type { Resources } from "../../src/schema/resources.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import type { WorkerCommand } from "../../src/core/worker/worker_command.ts";
import type { WorkerAnswer } from "../../src/core/worker/worker_answer.ts";
import { WorkerModel } from "../../stand_ins/worker/worker_model.ts";
import type { SimClock } from "./sim_clock.ts";
import type { SimService } from "./sim_service.ts";

/** A worker on virtual time that can be killed, restarted and paused. */
export class SimWorker {
  model: WorkerModel;
  isAlive = true;
  isPaused = false;
  service: SimService | undefined;
  #bootNumber = 1;

  constructor(
    readonly id: WorkerId,
    readonly capacity: Resources,
    readonly labels: Labels,
    readonly clock: SimClock,
  ) {
    this.model = new WorkerModel(id, "b1", capacity);
  }

  /** Applies the order, if any, and reports, unless dead or paused. */
  apply(
    order: WorkerCommand | undefined,
    nowMs: number,
  ): WorkerAnswer | undefined {
    if (!this.isAlive || this.isPaused) return undefined;
    return this.model.apply(order, this.clock.at(nowMs));
  }

  /** Advances the worker to the time: tasks end and leases expire. */
  advance(nowMs: number): void {
    if (this.isAlive && !this.isPaused) {
      this.model.advance(this.clock.at(nowMs));
    }
  }

  /** Latency of the service on this worker, slowed by the tasks that run. */
  serviceLatencyMs(slowdowns: ReadonlyMap<string, number>): number {
    let latencyMs = this.service?.baseLatencyMs ?? 0;
    for (const { task } of this.model.runningAttempts()) {
      const slowdown = slowdowns.get(task.template) ?? 1;
      latencyMs *= 1 + (slowdown - 1) * task.share;
    }
    return latencyMs;
  }

  /** Restarts the worker under a new boot id, without its tasks. */
  restart(): void {
    this.#bootNumber += 1;
    this.model = new WorkerModel(
      this.id,
      `b${this.#bootNumber}`,
      this.capacity,
    );
    this.isAlive = true;
    this.isPaused = false;
  }
}
