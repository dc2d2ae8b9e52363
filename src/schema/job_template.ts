import * as v from "valibot";
import { ItemLabels } from "./item_labels.ts";
import { Name } from "./name.ts";
import { PositiveInteger } from "./positive_integer.ts";
import { Resources } from "./resources.ts";
import { Selector } from "./selector.ts";

/** A kind of batch job that members may submit by name. */
export const JobTemplate = v.strictObject({
  name: Name,
  labels: ItemLabels,
  pool: Name,
  workers: v.optional(Selector, []),
  tasks: v.pipe(PositiveInteger, v.maxValue(10_000)),
  needs: Resources,
  runMs: PositiveInteger,
  maxAttempts: v.pipe(PositiveInteger, v.maxValue(100)),
  maxEvictions: v.pipe(v.number(), v.integer(), v.minValue(0)),
});
export type JobTemplate = v.InferOutput<typeof JobTemplate>;
