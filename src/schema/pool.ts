import * as v from "valibot";
import { ItemLabels } from "./item_labels.ts";
import { Name } from "./name.ts";
import { Selector } from "./selector.ts";

/** A set of workers, selected by their labels. */
export const Pool = v.strictObject({
  name: Name,
  labels: ItemLabels,
  workers: Selector,
});
export type Pool = v.InferOutput<typeof Pool>;
