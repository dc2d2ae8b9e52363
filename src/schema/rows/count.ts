import * as v from "valibot";

/** A whole number from 0 that can be counted on from. */
export const Count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
