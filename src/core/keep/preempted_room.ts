import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** Room that evictions on a worker are freeing for an urgent task. */
export interface PreemptedRoom {
  readonly worker: WorkerId;
  readonly needs: Resources;
}
