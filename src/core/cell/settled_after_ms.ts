/** A run's use of CPU is representative once it has run for this long. */
export const settledAfterMs = 1_500;
