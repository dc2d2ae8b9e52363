import * as v from "valibot";
import { ItemLabels } from "./item_labels.ts";
import { Name } from "./name.ts";
import { PositiveInteger } from "./positive_integer.ts";

const Ratio = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** A latency-critical service and the limits of its requests. */
export const Service = v.strictObject({
  name: Name,
  labels: ItemLabels,
  checkTimeoutMs: PositiveInteger,
  orderTimeoutMs: PositiveInteger,
  retryBudgetRatio: Ratio,
  maxQueued: PositiveInteger,
});
export type Service = v.InferOutput<typeof Service>;
