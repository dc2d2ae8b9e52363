import type { WorkerRow } from "../fold/worker_row.ts";
import type { Placement } from "./placement.ts";
import type { Placer } from "./placer.ts";

/** Takes the first worker with room: a baseline. */
export class FirstFit implements Placer {
  readonly name = "first-fit";

  choose({ room }: Placement): WorkerRow | undefined {
    return room[0];
  }
}
