import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import { addResources } from "../resources/add_resources.ts";
import { noResources } from "../resources/no_resources.ts";
import type { RoomPromise } from "./room_promise.ts";

/** The room promised on a worker, but for that of one task. */
export function promisedOn(
  promises: ReadonlyMap<string, RoomPromise>,
  worker: WorkerId,
  except?: string,
): Resources {
  let sum = noResources;
  for (const [task, promise] of promises) {
    if (promise.worker !== worker || task === except) continue;
    sum = addResources(sum, promise.needs);
  }
  return sum;
}
