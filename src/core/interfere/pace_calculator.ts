import type { FillerSample } from "./filler_sample.ts";
import { loadFromLatency } from "./load_from_latency.ts";
import type { ServiceSample } from "./service_sample.ts";

/** Kept free below the load at which a service is at its target latency. */
const loadMargin = 0.08;
/** Filler images with a lower pressure on a service are not slowed for it. */
const minPressure = 0.15;
/**
 * If the known pressures account for less load than this, they do not explain
 * why a service is over its target.
 */
const minExplainingLoad = 0.08;
/** Applied to all paces if pressures do not explain a service's latency. */
const backoffFactor = 0.5;
/** How far a pace rises in one update. */
const maxIncreasePercent = 30;
/** Fillers stop rather than run at a lower pace. */
const minPacePercent = 10;
/** A pace stays as it is if it would change by less than this. */
const minChangePercent = 8;
/** A service over its target for this long slows all fillers. */
const slowAllAfterMs = 1_800;

/**
 * Computes how fast each filler image may run beside a worker's services: the
 * highest pace at which, by the known pressures of the images, each service
 * stays under its target. If a service is over its target and no known pressure
 * explains it, or if it stays over its target, all paces are halved.
 */
export class PaceCalculator {
  readonly #percents = new Map<string, number>();
  #overSinceMs: number | undefined;

  /** Returns the pace of an image, in percent of full speed. */
  paceOf(image: string): number {
    return this.#percents.get(image) ?? 100;
  }

  /** Forgets all paces. */
  reset(): void {
    this.#percents.clear();
    this.#overSinceMs = undefined;
  }

  /** Sets the paces by a new sample of the services and fillers. */
  update(
    services: readonly ServiceSample[],
    fillers: readonly FillerSample[],
    nowMs: number,
  ): void {
    const isOver = services.some(({ part: ratio }) => ratio > 1);
    this.#overSinceMs = isOver ? this.#overSinceMs ?? nowMs : undefined;
    const isProlonged = this.#overSinceMs !== undefined &&
      nowMs - this.#overSinceMs >= slowAllAfterMs;
    const wanted = new Map<string, number>();
    for (const { image } of fillers) wanted.set(image, 100);
    for (const service of services) {
      for (
        const [image, percent] of this.#limits(service, fillers, isProlonged)
      ) {
        wanted.set(image, Math.min(wanted.get(image) ?? 100, percent));
      }
    }
    for (const [image, percent] of wanted) this.#adjust(image, percent);
    for (const image of this.#percents.keys()) {
      if (!wanted.has(image)) this.#percents.delete(image);
    }
  }

  /** Yields the highest paces that keep one service under its target. */
  *#limits(
    service: ServiceSample,
    fillers: readonly FillerSample[],
    isProlonged: boolean,
  ): Generator<[image: string, percent: number]> {
    const { part: ratio, floor, pressures } = service;
    const interfering = fillers
      .map(({ image, used, asked: requested }) => {
        const pressure = pressures.get(image) ?? 0;
        return {
          image,
          pressure,
          usedLoad: pressure * used,
          fullLoad: pressure * requested,
        };
      })
      .filter(({ pressure }) => pressure >= minPressure)
      .sort((a, b) => a.pressure - b.pressure);
    let fillerLoad = 0;
    for (const { usedLoad } of interfering) fillerLoad += usedLoad;
    const isOver = ratio > 1;
    if (isOver && (isProlonged || fillerLoad < minExplainingLoad)) {
      for (const { image } of fillers) {
        yield [image, this.paceOf(image) * backoffFactor];
      }
      return;
    }
    const callerLoad = loadFromLatency(ratio, floor) - fillerLoad;
    let spareLoad = Math.max(
      0,
      loadFromLatency(1, floor) - loadMargin - callerLoad,
    );
    // Spare load goes first to the images with the lowest pressure, since it
    // allows most work there.
    for (const { image, fullLoad } of interfering) {
      const share = fullLoad <= spareLoad ? 1 : spareLoad / fullLoad;
      spareLoad = Math.max(0, spareLoad - fullLoad);
      yield [image, share * 100];
    }
  }

  /** Moves a pace towards the wanted one: down at once, up by steps. */
  #adjust(image: string, wanted: number): void {
    const now = this.paceOf(image);
    const next = Math.round(Math.min(wanted, now + maxIncreasePercent));
    if (next >= 100) this.#percents.delete(image);
    else if (next < minPacePercent) this.#percents.set(image, 0);
    else if (Math.abs(next - now) >= minChangePercent) {
      this.#percents.set(image, next);
    }
  }
}
