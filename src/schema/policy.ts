import * as v from "valibot";
import { Name } from "./name.ts";

const Weight = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** What a venture weighs when tail latency and evictions conflict. */
export const Policy = v.strictObject({
  name: Name,
  latencyWeight: Weight,
  evictionWeight: Weight,
});
export type Policy = v.InferOutput<typeof Policy>;
