import * as v from "valibot";
import { Name } from "./name.ts";

/** Labels of a pool, service, job or worker. */
export const Labels = v.record(Name, v.pipe(v.string(), v.maxLength(128)));
export type Labels = v.InferOutput<typeof Labels>;
