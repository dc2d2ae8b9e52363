import * as v from "valibot";
import { Name } from "./name.ts";

const Weight = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** How a venture weighs tail latency against evictions where they conflict. */
export const Policy = v.strictObject({
  name: Name,
  latencyWeight: Weight,
  evictionWeight: Weight,
});
export type Policy = v.InferOutput<typeof Policy>;
