import type { JobTemplate } from "../../schema/job_template.ts";
import type { Member } from "../../schema/member.ts";
import type { Policy } from "../../schema/policy.ts";
import type { Pool } from "../../schema/pool.ts";
import type { Service } from "../../schema/service.ts";
import type { Term } from "../../schema/term.ts";

/** The value type of each kind of item. */
export interface ItemValues {
  readonly venture: { readonly name: string; readonly term: Term };
  readonly member: Member;
  readonly pool: Pool;
  readonly service: Service;
  readonly job: JobTemplate;
  readonly policy: Policy;
}
