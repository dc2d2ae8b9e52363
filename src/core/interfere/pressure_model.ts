import type { FillerUse } from "./filler_use.ts";
import { ImagePressures } from "./image_pressures.ts";
import { jsonBytes } from "../check/json_bytes.ts";
import { takeNewest } from "./take_newest.ts";
import { loadFromLatency } from "./load_from_latency.ts";
import { unknownPressure } from "./unknown_pressure.ts";
import type { PressureRow } from "./pressure_row.ts";

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
/** Stored numbers are rounded to this precision. */
const storedSteps = 1_000;

interface ServiceModel {
  floor: number;
  readonly pressures: ImagePressures;
}

/** What is assumed of a service before any sample of it; never updated. */
const unknownService: Readonly<ServiceModel> = {
  floor: initialFloor,
  pressures: new ImagePressures(),
};

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
  /** The filler images that ran beside services, the one used last at the end. */
  readonly fillerImages = new Set<string>();
  /** How many samples it has learned from. */
  sampleCount = 0;
  /** How often what it returns may have changed. */
  changeCount = 0;

  /** Learns from one sample: a service's latency relative to its target. */
  learn(service: string, job: string, ratio: number, use: FillerUse): void {
    this.sampleCount += 1;
    this.changeCount += 1;
    for (const image of use.keys()) this.#addFiller(image);
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
    const { pressures } = this.#services.get(service) ?? unknownService;
    return this.callerLoadOf(job) + pressures.addedLoad(use);
  }

  /** Returns the load at which a service's latency is at its target. */
  targetLoadOf(service: string): number {
    return loadFromLatency(1, this.floorOf(service));
  }

  /** Returns a service's latency when idle, relative to its target. */
  floorOf(service: string): number {
    return (this.#services.get(service) ?? unknownService).floor;
  }

  /** Returns the load that callers put on the services of a job. */
  callerLoadOf(job: string): number {
    return this.#loads.get(job) ?? initialLoad;
  }

  /** Returns the pressure of a filler image on a service. */
  pressureOf(service: string, image: string): number {
    return this.#services.get(service)?.pressures.pressureOf(image) ??
      unknownPressure;
  }

  /** Forgets the caller load of a job that has ended. */
  forgetJob(job: string): void {
    this.#loads.delete(job);
    this.changeCount += 1;
  }

  /**
   * Returns what was learned, for `restore`, in at most so many bytes of JSON.
   * What was used last takes precedence.
   */
  encode(maxBytes = Infinity): PressureRow {
    const fillers = takeNewest(this.fillerImages, maxBytes / 4);
    const loads = takeNewest(
      [...this.#loads].map(([job, load]) => [job, rounded(load)] as const),
      maxBytes / 4,
    );
    const services = [...this.#services].map((
      [image, { floor, pressures }],
    ) =>
      [
        image,
        rounded(floor),
        fillers.map((filler) => rounded(pressures.pressureOf(filler))),
        fillers.map((filler) => rounded(pressures.varianceOf(filler))),
      ] as const
    );
    const row = { fillers, services: [], loads };
    const restBytes = maxBytes - jsonBytes(row);
    return { ...row, services: takeNewest(services, restBytes) };
  }

  /** Adds what an earlier keeper learned. */
  restore({ fillers, services, loads }: PressureRow): void {
    this.changeCount += 1;
    for (const image of fillers) this.#addFiller(image);
    for (const [image, floor, pressures, variances] of services) {
      const model = this.#modelOf(image);
      model.floor = floor;
      fillers.forEach((filler, index) => {
        const pressure = pressures[index];
        const variance = variances[index];
        if (pressure === undefined || variance === undefined) return;
        model.pressures.set(filler, pressure, variance);
      });
    }
    for (const [job, load] of loads) this.#setLoad(job, load);
  }

  #addFiller(image: string): void {
    this.fillerImages.delete(image);
    evictOldest(this.fillerImages, maxFillers);
    this.fillerImages.add(image);
  }

  /** Sets a job's load; the job set longest ago gives way to a new one. */
  #setLoad(job: string, load: number): void {
    this.#loads.delete(job);
    evictOldest(this.#loads, maxJobs);
    this.#loads.set(job, load);
  }

  #modelOf(service: string): ServiceModel {
    const model = this.#services.get(service) ??
      { floor: initialFloor, pressures: new ImagePressures() };
    this.#services.delete(service);
    evictOldest(this.#services, maxServices);
    this.#services.set(service, model);
    return model;
  }
}

function rounded(value: number): number {
  return Math.round(value * storedSteps) / storedSteps;
}

function evictOldest(
  entries: Map<string, unknown> | Set<string>,
  maxSize: number,
): void {
  const [oldest] = entries.keys();
  if (entries.size >= maxSize && oldest !== undefined) entries.delete(oldest);
}
