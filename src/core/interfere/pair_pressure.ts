import type { FillerUse } from "./filler_use.ts";
import { ImagePressures } from "./image_pressures.ts";
import { latencyLoad } from "./latency_load.ts";

/** What an idle service's latency is of its target, until lower was seen. */
const firstFloor = 0.25;
const floorRate = 0.2;
/** The load of a job of services before anything was seen of it. */
const firstLoad = 0.45;
const mostLoad = 0.75;
/** How far a job's load may go within one sample, as a variance. */
const loadVariance = 0.004;
const sampleVariance = 0.004;
const mostServices = 256;
const mostJobs = 4_096;
const mostFillers = 256;

interface Learned {
  floor: number;
  readonly pressures: ImagePressures;
}

/**
 * Learns which filler images press on which service images. A service's latency
 * tells its load; that is the load of its job, which its callers make and which
 * all its tasks share, and pressure times use of each filler image beside it.
 */
export class PairPressure {
  readonly #services = new Map<string, Learned>();
  readonly #loads = new Map<string, number>();
  /** The filler images that were seen beside services. */
  readonly fillers = new Set<string>();

  /** Takes in one sample of a service of the job: latency by target. */
  learn(service: string, job: string, part: number, use: FillerUse): void {
    for (const image of use.keys()) {
      if (this.fillers.size < mostFillers) this.fillers.add(image);
    }
    const learned = this.#of(service);
    if (part < learned.floor) {
      learned.floor += (part - learned.floor) * floorRate;
    }
    const load = this.loadOf(job);
    const { pressures } = learned;
    const error = latencyLoad(part, learned.floor) - load - pressures.sum(use);
    const variance = pressures.doubt(use) + loadVariance + sampleVariance;
    const nextLoad = load + error * loadVariance / variance;
    this.#setLoad(job, Math.min(mostLoad, Math.max(0, nextLoad)));
    pressures.correct(use, error, variance);
  }

  /** The load that a service of the job should come to. */
  expect(service: string, job: string, use: FillerUse): number {
    return this.loadOf(job) + this.#of(service).pressures.sum(use);
  }

  /** The load at which a service's latency is at its target. */
  limitOf(service: string): number {
    return latencyLoad(1, this.#of(service).floor);
  }

  /** What an idle service's latency is of its target. */
  floorOf(service: string): number {
    return this.#of(service).floor;
  }

  /** The load that callers put on a job's services. */
  loadOf(job: string): number {
    return this.#loads.get(job) ?? firstLoad;
  }

  /** How much a filler image presses on a service image; 0 where unknown. */
  of(service: string, image: string): number {
    return this.#services.get(service)?.pressures.of(image) ?? 0;
  }

  #setLoad(job: string, load: number): void {
    dropOldest(this.#loads, mostJobs);
    this.#loads.set(job, load);
  }

  #of(service: string): Learned {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    dropOldest(this.#services, mostServices);
    const learned = { floor: firstFloor, pressures: new ImagePressures() };
    this.#services.set(service, learned);
    return learned;
  }
}

function dropOldest(entries: Map<string, unknown>, most: number): void {
  const [oldest] = entries.keys();
  if (entries.size >= most && oldest !== undefined) entries.delete(oldest);
}
