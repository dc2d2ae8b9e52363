import type { WorkerRow } from "../fold/worker_row.ts";
import type { RandomSource } from "../random/random_source.ts";
import { addResources } from "../resources/add_resources.ts";
import { dominantShare } from "../resources/dominant_share.ts";
import type { Placement } from "./placement.ts";
import type { Placer } from "./placer.ts";

const sampled = 12;
const sameWorkerPenalty = 0.3;
const failurePenalty = 0.5;

/** Takes the least loaded of some sampled workers, apart from its siblings. */
export class SpreadFit implements Placer {
  readonly name = "spread-fit";

  constructor(readonly random: RandomSource) {}

  choose(placement: Placement): WorkerRow | undefined {
    let best: WorkerRow | undefined;
    let bestCost = Infinity;
    for (const worker of this.#sample(placement.room)) {
      const cost = costOf(placement, worker);
      if (cost >= bestCost) continue;
      best = worker;
      bestCost = cost;
    }
    return best;
  }

  *#sample(room: readonly WorkerRow[]): Generator<WorkerRow> {
    if (room.length <= sampled) {
      yield* room;
      return;
    }
    for (let draw = 0; draw < sampled; draw++) {
      const worker = room[Math.floor(this.random.next() * room.length)];
      if (worker !== undefined) yield worker;
    }
  }
}

function costOf(placement: Placement, worker: WorkerRow): number {
  const used = addResources(placement.used(worker), placement.reserved);
  const siblings =
    [...worker.tasks].filter((task) =>
      task.startsWith(`${placement.job.job.id}/`)
    ).length;
  return dominantShare(used, worker.capacity) +
    siblings * sameWorkerPenalty +
    worker.failStreak * failurePenalty + placement.penalty(worker);
}
