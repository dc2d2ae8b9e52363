import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { Waiting } from "../place/waiting.ts";
import { addResources } from "../resources/add_resources.ts";
import { promisedOn } from "./promised_on.ts";
import type { RoomPromise } from "./room_promise.ts";

const unlimited: Resources = {
  cpuMilli: Infinity,
  memoryBytes: Infinity,
  accelerators: Infinity,
};

/** Tracks what is in use on each worker during one round of claims. */
export class RoomBook {
  readonly #claimed = new Map<WorkerId, Resources>();

  constructor(readonly promises: ReadonlyMap<string, RoomPromise>) {}

  /** Adds a claim that was proposed in this round. */
  take(worker: WorkerId, amount: Resources): void {
    const before = this.#claimed.get(worker);
    this.#claimed.set(worker, before ? addResources(before, amount) : amount);
  }

  /** Places no more tasks on the worker in this round. */
  close(worker: WorkerId): void {
    this.#claimed.set(worker, unlimited);
  }

  /**
   * What is unavailable to a waiting task: reservations, claims of this round,
   * and room that is being freed for other tasks.
   */
  used(worker: WorkerRow, { task }: Waiting): Resources {
    const claimed = this.#claimed.get(worker.id);
    const used = claimed ? addResources(worker.used, claimed) : worker.used;
    if (this.promises.size === 0) return used;
    return addResources(used, promisedOn(this.promises, worker.id, task.id));
  }
}
