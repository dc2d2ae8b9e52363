import * as v from "valibot";

/** A positive integer, for counts and for amounts with a unit. */
export const PositiveInteger = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(1),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);
