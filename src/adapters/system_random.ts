import { randomBytes } from "node:crypto";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { RandomSource } from "../core/random/random_source.ts";

/** `next` returns one of this many equally spaced values. */
const valueCount = 2 ** 30;

/** A random source with a different seed in each process. */
export class SystemRandom implements RandomSource {
  readonly #generator = xoroshiro128plus(randomBytes(4).readInt32LE());

  next(): number {
    const value = unsafeUniformIntDistribution(
      0,
      valueCount - 1,
      this.#generator,
    );
    return value / valueCount;
  }
}
