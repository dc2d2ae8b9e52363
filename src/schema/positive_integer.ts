import * as v from "valibot";

/** A whole number above zero, as amounts with a unit are given. */
export const PositiveInteger = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(1),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);
