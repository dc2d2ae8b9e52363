import * as v from "valibot";
import { JobId } from "./job_id.ts";
import { MemberId } from "./member_id.ts";
import { Name } from "./name.ts";
import { PositiveInteger } from "./positive_integer.ts";
import { Resources } from "./resources.ts";
import { Selector } from "./selector.ts";

/** A submitted job, with its template's limits at the time of acceptance. */
export const Job = v.strictObject({
  id: JobId,
  member: MemberId,
  template: Name,
  pool: Name,
  term: v.string(),
  urgent: v.boolean(),
  tasks: PositiveInteger,
  needs: Resources,
  workers: Selector,
  runMs: PositiveInteger,
  maxAttempts: PositiveInteger,
  maxEvictions: v.pipe(v.number(), v.integer(), v.minValue(0)),
  endsAtMs: v.number(),
  input: v.unknown(),
});
export type Job = v.InferOutput<typeof Job>;
