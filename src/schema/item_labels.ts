import * as v from "valibot";
import { Labels } from "./labels.ts";

const required = ["owner", "trade", "urgency", "term"] as const;

/** Labels that every pool, service and job carries. */
export const ItemLabels = v.pipe(
  Labels,
  v.check(
    (labels) => required.every((name) => name in labels),
    `expected the labels ${required.join(", ")}`,
  ),
);
export type ItemLabels = v.InferOutput<typeof ItemLabels>;
