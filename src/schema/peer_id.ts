import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies one process of the system; survives its replacement. */
export const PeerId = v.pipe(Name, v.brand("PeerId"));
export type PeerId = v.InferOutput<typeof PeerId>;
