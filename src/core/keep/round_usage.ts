import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { WaitingTask } from "../place/waiting_task.ts";
import { addResources } from "../resources/add_resources.ts";
import { preemptedRoomOn } from "./preempted_room_on.ts";
import type { PreemptedRoom } from "./preempted_room.ts";

const unlimited: Resources = {
  cpuMilli: Infinity,
  memoryBytes: Infinity,
  accelerators: Infinity,
};

/** Tracks what is in use on each worker during one round of claims. */
export class RoundUsage {
  readonly #claimed = new Map<WorkerId, Resources>();

  constructor(readonly preemptedRooms: ReadonlyMap<string, PreemptedRoom>) {}

  /** Adds a claim that was proposed in this round. */
  addClaim(worker: WorkerId, amount: Resources): void {
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
  used(worker: WorkerRow, { task }: WaitingTask): Resources {
    const claimed = this.#claimed.get(worker.id);
    const used = claimed ? addResources(worker.used, claimed) : worker.used;
    if (this.preemptedRooms.size === 0) return used;
    return addResources(
      used,
      preemptedRoomOn(this.preemptedRooms, worker.id, task.id),
    );
  }
}
