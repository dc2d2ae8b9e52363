import type { WorkerRow } from "../fold/worker_row.ts";
import type { RandomSource } from "../random/random_source.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { Placer } from "./placer.ts";

/** Chooses a random worker with room. A baseline for comparison. */
export class RandomFit implements Placer {
  readonly name = "random-fit";

  constructor(readonly random: RandomSource) {}

  choose({ room }: PlacementRequest): WorkerRow | undefined {
    return room[Math.floor(this.random.next() * room.length)];
  }
}
