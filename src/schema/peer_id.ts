import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies a process of the system; its replacement has the same id. */
export const PeerId = v.pipe(Name, v.brand("PeerId"));
export type PeerId = v.InferOutput<typeof PeerId>;
