import * as v from "valibot";
import { RatioHistogram } from "../../core/estimate/ratio_histogram.ts";
import { Count } from "./count.ts";

/** Weight, x, y, x², xy; logarithms of times in ms are below the limit. */
const sumCount = 5;
const maxLog = 30;
const Weight = v.pipe(v.number(), v.finite(), v.minValue(0));

const Sums = v.pipe(
  v.array(v.pipe(v.number(), v.finite())),
  v.length(sumCount),
  v.check(([weight = 0, x = 0, y = 0]) =>
    weight >= 0 && Math.max(Math.abs(x), Math.abs(y)) <= maxLog * weight
  ),
);

/** The row of what keepers have learned of run times: a `RunTimeRow`. */
export const RunTimesRow = v.object({
  kinds: v.array(
    v.pipe(
      v.tuple([v.string(), Sums, Count, v.array(Weight)]),
      v.check(([, , firstBin, weights]) =>
        firstBin + weights.length <= RatioHistogram.binCount
      ),
    ),
  ),
});
