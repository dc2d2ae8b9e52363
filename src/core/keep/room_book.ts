import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { Waiting } from "../place/waiting.ts";
import { addResources } from "../resources/add_resources.ts";
import { promisedOn } from "./promised_on.ts";
import type { RoomPromise } from "./room_promise.ts";

const everything: Resources = {
  cpuMilli: Infinity,
  memoryBytes: Infinity,
  accelerators: Infinity,
};

/** What is in use on each worker in the course of one round of claims. */
export class RoomBook {
  readonly #taken = new Map<WorkerId, Resources>();

  constructor(readonly promises: ReadonlyMap<string, RoomPromise>) {}

  /** Counts a claim that is proposed in this round. */
  take(worker: WorkerId, amount: Resources): void {
    const before = this.#taken.get(worker);
    this.#taken.set(worker, before ? addResources(before, amount) : amount);
  }

  /** Lets nothing more onto the worker in this round. */
  close(worker: WorkerId): void {
    this.#taken.set(worker, everything);
  }

  /** What a waiting task finds in use: claims, and promises to others. */
  used(worker: WorkerRow, { task }: Waiting): Resources {
    const taken = this.#taken.get(worker.id);
    const used = taken ? addResources(worker.used, taken) : worker.used;
    if (this.promises.size === 0) return used;
    return addResources(used, promisedOn(this.promises, worker.id, task.id));
  }
}
