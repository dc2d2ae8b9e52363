import * as v from "valibot";
import { Name } from "./name.ts";

const Values = v.pipe(v.array(v.string()), v.minLength(1));

/** Conditions on labels, all of which must hold: `in`, `notIn` or `exists`. */
export const Selector = v.array(
  v.union([
    v.strictObject({ label: Name, in: Values }),
    v.strictObject({ label: Name, notIn: Values }),
    v.strictObject({ label: Name, exists: v.boolean() }),
  ], 'expected {"label", and one of "in", "notIn" or "exists"}'),
);
export type Selector = v.InferOutput<typeof Selector>;
