import * as v from "valibot";
import { JobTemplate } from "./job_template.ts";
import { Member } from "./member.ts";
import { Name } from "./name.ts";
import { Policy } from "./policy.ts";
import { Pool } from "./pool.ts";
import { Service } from "./service.ts";
import { Term } from "./term.ts";

/** The configuration that the operators of a venture publish. */
export const Configuration = v.strictObject({
  venture: Name,
  term: Term,
  members: v.pipe(v.array(Member), v.minLength(1)),
  pools: v.array(Pool),
  services: v.array(Service),
  jobs: v.array(JobTemplate),
  policies: v.optional(v.array(Policy), []),
});
export type Configuration = v.InferOutput<typeof Configuration>;
