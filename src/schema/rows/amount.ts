import * as v from "valibot";

/** An amount, or a duration in ms, that sums of many can be taken of. */
export const Amount = v.pipe(
  v.number(),
  v.minValue(0),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);
