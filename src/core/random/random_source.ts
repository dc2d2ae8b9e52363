/** A source of random numbers that a test can seed. */
export interface RandomSource {
  /** A number from 0 up to but not including 1. */
  next(): number;
}
