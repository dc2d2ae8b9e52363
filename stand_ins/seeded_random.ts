import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { RandomSource } from "../src/core/random/random_source.ts";

const valueCount = 2 ** 30;

/** A random source that returns the same numbers for the same seed. */
export class SeededRandom implements RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    const drawn = unsafeUniformIntDistribution(
      0,
      valueCount - 1,
      this.#generator,
    );
    return drawn / valueCount;
  }
}
