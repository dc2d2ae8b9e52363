import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** Room on a worker that is being made for an urgent task. */
export interface RoomPromise {
  readonly worker: WorkerId;
  readonly needs: Resources;
}
