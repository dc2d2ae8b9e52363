/** A source of random numbers that a test can seed. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}
