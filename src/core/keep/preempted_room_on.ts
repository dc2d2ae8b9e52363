import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import { addResources } from "../resources/add_resources.ts";
import { noResources } from "../resources/no_resources.ts";
import type { PreemptedRoom } from "./preempted_room.ts";

/** The room that is being freed on a worker, apart from one task's. */
export function preemptedRoomOn(
  rooms: ReadonlyMap<string, PreemptedRoom>,
  worker: WorkerId,
  exceptTask?: string,
): Resources {
  let sum = noResources;
  for (const [task, room] of rooms) {
    if (room.worker !== worker || task === exceptTask) continue;
    sum = addResources(sum, room.needs);
  }
  return sum;
}
