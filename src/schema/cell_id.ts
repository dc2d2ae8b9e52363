import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies a cell: the workers that share one ledger and one keeper. */
export const CellId = v.pipe(Name, v.brand("CellId"));
export type CellId = v.InferOutput<typeof CellId>;
