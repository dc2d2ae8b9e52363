import * as v from "valibot";
import { JobId } from "./job_id.ts";
import { Name } from "./name.ts";

/** The body of a member's request to submit a job. */
export const SubmitRequest = v.strictObject({
  id: v.optional(JobId),
  template: Name,
  input: v.optional(v.unknown(), null),
});
export type SubmitRequest = v.InferOutput<typeof SubmitRequest>;
