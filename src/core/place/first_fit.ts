import type { WorkerRow } from "../fold/worker_row.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { Placer } from "./placer.ts";

/** Chooses the first worker with room. A baseline for comparison. */
export class FirstFit implements Placer {
  readonly name = "first-fit";

  choose({ room }: PlacementRequest): WorkerRow | undefined {
    return room[0];
  }
}
