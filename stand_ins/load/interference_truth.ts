import type { PressureRow } from "../../src/core/interfere/pressure_row.ts";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { LoadOptions } from "./load_options.ts";

/** Variance of a pressure that is known. */
const knownVariance = 0.0001;
/** The latency of an idle service, relative to its target. */
const idleRatio = 4 / 18;
/** A heavy pair has at least this share of the highest pressure. */
const minHeavyShare = 0.15;

/** How strongly each filler image truly slows down each service image. */
export class InterferenceTruth {
  readonly #pressures = new Map<string, number>();

  constructor(readonly options: LoadOptions, random: RandomSource) {
    const { services, plans } = options;
    for (let service = 0; service < services.images; service++) {
      for (let filler = 0; filler < plans.images; filler++) {
        const isHeavy = random.next() < plans.heavyShare;
        const share = minHeavyShare + (1 - minHeavyShare) * random.next();
        this.#pressures.set(
          `s${service} f${filler}`,
          isHeavy ? share * plans.maxPressure : 0,
        );
      }
    }
  }

  /** The load that the filler adds to the service per share of a worker. */
  pressureOf(service: string, filler: string): number {
    return this.#pressures.get(`${service} ${filler}`) ?? 0;
  }

  /** The truth, as a keeper would have learned it. */
  encode(): PressureRow {
    const { services, plans } = this.options;
    const fillers = Array.from({ length: plans.images }, (_, i) => `f${i}`);
    const images = Array.from({ length: services.images }, (_, i) => `s${i}`);
    return {
      fillers,
      services: images.map((image) => [
        image,
        idleRatio,
        fillers.map((filler) => this.pressureOf(image, filler)),
        fillers.map(() => knownVariance),
      ]),
      loads: [],
    };
  }
}
