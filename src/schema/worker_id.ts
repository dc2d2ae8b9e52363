import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies a worker of the platform. */
export const WorkerId = v.pipe(Name, v.brand("WorkerId"));
export type WorkerId = v.InferOutput<typeof WorkerId>;
