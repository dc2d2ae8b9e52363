import type { WorkerRow } from "../fold/worker_row.ts";
import type { PlacementRequest } from "./placement_request.ts";

/** Chooses one of the workers that have room for a task. */
export interface Placer {
  readonly name: string;
  choose(request: PlacementRequest): WorkerRow | undefined;
}
