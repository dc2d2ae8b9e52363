import type { FillerUse } from "./filler_use.ts";
import { ImagePressures } from "./image_pressures.ts";
import { loadFromLatency } from "./load_from_latency.ts";

/** Latency when idle, relative to the target, until a lower one is seen. */
const initialFloor = 0.25;
/** How fast the floor follows a lower latency. */
const floorSmoothing = 0.2;
/** The caller load of a job before any sample of it. */
const initialLoad = 0.45;
const maxLoad = 0.75;
/** Variance of the change of a job's caller load between two samples. */
const loadVariance = 0.004;
/** Variance of the error of one sample. */
const sampleVariance = 0.004;
const maxServices = 256;
const maxJobs = 4_096;
const maxFillers = 256;

interface ServiceModel {
  floor: number;
  readonly pressures: ImagePressures;
}

/**
 * Learns the pressure of filler images on service images: the load that a
 * filler image adds to a service, per share of the worker's processors that it
 * uses. The load behind a service's latency is split into the load from the
 * callers of its job, which is the same for all tasks of the job, and the load
 * from the fillers beside it.
 */
export class PressureModel {
  readonly #services = new Map<string, ServiceModel>();
  readonly #loads = new Map<string, number>();
  /** The filler images that have run beside services. */
  readonly fillerImages = new Set<string>();

  /** Learns from one sample: a service's latency relative to its target. */
  learn(service: string, job: string, ratio: number, use: FillerUse): void {
    for (const image of use.keys()) {
      if (this.fillerImages.size < maxFillers) this.fillerImages.add(image);
    }
    const model = this.#modelOf(service);
    if (ratio < model.floor) {
      model.floor += (ratio - model.floor) * floorSmoothing;
    }
    const load = this.callerLoadOf(job);
    const { pressures } = model;
    const error = loadFromLatency(ratio, model.floor) - load -
      pressures.addedLoad(use);
    const variance = pressures.loadVariance(use) + loadVariance +
      sampleVariance;
    const nextLoad = load + error * loadVariance / variance;
    this.#setLoad(job, Math.min(maxLoad, Math.max(0, nextLoad)));
    pressures.update(use, error, variance);
  }

  /** Returns the load to expect of a service of the job beside the fillers. */
  expectedLoad(service: string, job: string, use: FillerUse): number {
    return this.callerLoadOf(job) +
      this.#modelOf(service).pressures.addedLoad(use);
  }

  /** Returns the load at which a service's latency is at its target. */
  targetLoadOf(service: string): number {
    return loadFromLatency(1, this.#modelOf(service).floor);
  }

  /** Returns a service's latency when idle, relative to its target. */
  floorOf(service: string): number {
    return this.#modelOf(service).floor;
  }

  /** Returns the load that callers put on the services of a job. */
  callerLoadOf(job: string): number {
    return this.#loads.get(job) ?? initialLoad;
  }

  /** Returns the pressure of a filler image on a service; 0 if unknown. */
  pressureOf(service: string, image: string): number {
    return this.#services.get(service)?.pressures.pressureOf(image) ?? 0;
  }

  #setLoad(job: string, load: number): void {
    evictOldest(this.#loads, maxJobs);
    this.#loads.set(job, load);
  }

  #modelOf(service: string): ServiceModel {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    evictOldest(this.#services, maxServices);
    const model = { floor: initialFloor, pressures: new ImagePressures() };
    this.#services.set(service, model);
    return model;
  }
}

function evictOldest(entries: Map<string, unknown>, maxSize: number): void {
  const [oldest] = entries.keys();
  if (entries.size >= maxSize && oldest !== undefined) entries.delete(oldest);
}
