import type { WorkerRow } from "../fold/worker_row.ts";
import type { RandomSource } from "../random/random_source.ts";
import { addResources } from "../resources/add_resources.ts";
import { dominantShare } from "../resources/dominant_share.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { Placer } from "./placer.ts";

/** How many workers are compared for one task. */
const sampleSize = 12;
/** Penalties are in units of the dominant share. */
const siblingPenalty = 0.3;
const failurePenalty = 0.5;

/**
 * Chooses the worker of least cost from a sample. Load, tasks of the same job,
 * recent failures and expected slowdown of a service all add to the cost.
 */
export class SpreadFit implements Placer {
  readonly name = "spread-fit";

  constructor(readonly random: RandomSource) {}

  choose(request: PlacementRequest): WorkerRow | undefined {
    let best: WorkerRow | undefined;
    let bestCost = Infinity;
    for (const worker of this.#sample(request.room)) {
      const cost = costOf(request, worker);
      if (cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best;
  }

  *#sample(room: readonly WorkerRow[]): Generator<WorkerRow> {
    if (room.length <= sampleSize) {
      yield* room;
      return;
    }
    for (let draw = 0; draw < sampleSize; draw++) {
      const worker = room[Math.floor(this.random.next() * room.length)];
      if (worker !== undefined) yield worker;
    }
  }
}

function costOf(request: PlacementRequest, worker: WorkerRow): number {
  const used = addResources(request.used(worker), request.reserved);
  const siblings =
    [...worker.tasks].filter((task) =>
      task.startsWith(`${request.job.job.id}/`)
    ).length;
  return dominantShare(used, worker.capacity) +
    siblings * siblingPenalty +
    worker.failStreak * failurePenalty + request.penalty(worker);
}
