import * as v from "valibot";

/** A duration or factor that is neither negative nor infinite. */
export const Duration = v.pipe(v.number(), v.finite(), v.minValue(0));
