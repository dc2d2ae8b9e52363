import * as v from "valibot";
import { Labels } from "./labels.ts";

const requiredLabels = ["owner", "trade", "urgency", "term"] as const;

/** Labels of a pool, service or job, including the required ones. */
export const ItemLabels = v.pipe(
  Labels,
  v.check(
    (labels) => requiredLabels.every((name) => name in labels),
    `expected the labels ${requiredLabels.join(", ")}`,
  ),
);
export type ItemLabels = v.InferOutput<typeof ItemLabels>;
