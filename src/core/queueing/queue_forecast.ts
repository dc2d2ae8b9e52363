import type { CpuClass } from "./cpu_class.ts";
import { CapacityCurve } from "./capacity_curve.ts";
import type { ClassLoad } from "./class_load.ts";
import type { JobDemand } from "./job_demand.ts";
import type { PredictedTimes } from "./predicted_times.ts";
import type { WaitingWork } from "./waiting_work.ts";

type Place = Pick<WaitingWork, "band" | "priority" | "rankMs">;

/**
 * Predicts under overload when a job submitted to a pool now would start and
 * end, as if the waiting work were a fluid that is served in its order. Work
 * submitted later, and the order's change as jobs become late, are left out.
 */
export class QueueForecast {
  readonly #classes: Readonly<Record<CpuClass, ClassForecast>>;

  constructor({ reserved, filler }: Record<CpuClass, ClassLoad>) {
    this.#classes = {
      reserved: new ClassForecast(reserved),
      filler: new ClassForecast(filler),
    };
  }

  /** Takes O(log n) in the number of waiting and running jobs. */
  predict(demand: JobDemand): PredictedTimes {
    return this.#classes[demand.cpuClass].predict(demand);
  }
}

class ClassForecast {
  readonly #curve: CapacityCurve;
  readonly #places: readonly Place[];
  /** The CPU time of all waiting work before each place. */
  readonly #aheadMilliMs: number[] = [0];

  constructor({ freeMilli, running, waiting }: ClassLoad) {
    // What is free while work waits does not suit that work.
    const usableMilli = waiting.length > 0 ? 0 : freeMilli;
    this.#curve = new CapacityCurve(usableMilli, running);
    this.#places = [...waiting].sort(comparePlaces);
    let sumMilliMs = 0;
    for (const { milliMs } of this.#places as readonly WaitingWork[]) {
      sumMilliMs += milliMs;
      this.#aheadMilliMs.push(sumMilliMs);
    }
  }

  predict(demand: JobDemand): PredictedTimes {
    const { milliMs, taskCpuMilli, chainMs } = demand;
    const aheadMilliMs = this.#workAhead(demand);
    const curve = this.#curve;
    const startInMs = Math.max(
      curve.timeOfWork(aheadMilliMs),
      curve.timeOfFree(taskCpuMilli),
    );
    const endInMs = Math.max(
      startInMs + chainMs,
      curve.timeOfWork(aheadMilliMs + milliMs),
    );
    return { startInMs, endInMs };
  }

  #workAhead(place: Place): number {
    let from = 0;
    let to = this.#places.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (comparePlaces(this.#places[middle]!, place) <= 0) from = middle + 1;
      else to = middle;
    }
    return this.#aheadMilliMs[from]!;
  }
}

/** The order of `compareUrgency`. */
function comparePlaces(a: Place, b: Place): number {
  return a.band - b.band || a.priority - b.priority || a.rankMs - b.rankMs;
}
