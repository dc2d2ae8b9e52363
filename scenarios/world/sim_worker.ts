import type { Labels } from "../../src/schema/labels.ts";
import type { Resources } from "../../src/schema/resources.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import type { WorkerOrder } from "../../src/core/worker/worker_order.ts";
import type { WorkerAnswer } from "../../src/core/worker/worker_answer.ts";
import { WorkerModel } from "../../stand_ins/worker/worker_model.ts";
import type { SimClock } from "./sim_clock.ts";
import type { SimService } from "./sim_service.ts";

/** A worker on virtual time that can be killed, replaced, paused and resumed. */
export class SimWorker {
  model: WorkerModel;
  isAlive = true;
  isPaused = false;
  service: SimService | undefined;
  #boots = 1;

  constructor(
    readonly id: WorkerId,
    readonly capacity: Resources,
    readonly labels: Labels,
    readonly clock: SimClock,
  ) {
    this.model = new WorkerModel(id, "b1", capacity);
  }

  /** Takes an order, unless the worker is dead or paused. */
  apply(
    order: WorkerOrder | undefined,
    nowMs: number,
  ): WorkerAnswer | undefined {
    if (!this.isAlive || this.isPaused) return undefined;
    return this.model.apply(order, this.clock.at(nowMs));
  }

  /** Lets the worker notice that time has passed. */
  advance(nowMs: number): void {
    if (this.isAlive && !this.isPaused) {
      this.model.advance(this.clock.at(nowMs));
    }
  }

  /** The latency of the service beside it, with what runs there now. */
  latencyMs(slowdowns: ReadonlyMap<string, number>): number {
    let latencyMs = this.service?.baseMs ?? 0;
    for (const { task } of this.model.running()) {
      const slowdown = slowdowns.get(task.template) ?? 1;
      latencyMs *= 1 + (slowdown - 1) * task.share;
    }
    return latencyMs;
  }

  /** Starts the worker anew, with nothing kept. */
  restart(): void {
    this.#boots += 1;
    this.model = new WorkerModel(this.id, `b${this.#boots}`, this.capacity);
    this.isAlive = true;
    this.isPaused = false;
  }
}
