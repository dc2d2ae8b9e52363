import { randomBytes } from "node:crypto";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { RandomSource } from "../core/random/random_source.ts";

const steps = 2 ** 30;

/** A random source that differs from process to process. */
export class SystemRandom implements RandomSource {
  readonly #generator = xoroshiro128plus(randomBytes(4).readInt32LE());

  next(): number {
    const drawn = unsafeUniformIntDistribution(0, steps - 1, this.#generator);
    return drawn / steps;
  }
}
