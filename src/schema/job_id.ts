import * as v from "valibot";
import { Name } from "./name.ts";

/** Identifies one submitted job; chosen by its caller or by the entry. */
export const JobId = v.pipe(Name, v.brand("JobId"));
export type JobId = v.InferOutput<typeof JobId>;
