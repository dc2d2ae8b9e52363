import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { LoadOptions } from "./load_options.ts";

/** A heavy pair has at least this share of the highest pressure. */
const minHeavyShare = 0.15;

/** How strongly each filler image truly slows down each service image. */
export class InterferenceTruth {
  readonly #pressures = new Map<string, number>();

  constructor({ services, plans }: LoadOptions, random: RandomSource) {
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
}
