import type { ConfigState } from "../core/config/config_state.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Job } from "../schema/job.ts";
import type { JobId } from "../schema/job_id.ts";
import type { MemberId } from "../schema/member_id.ts";
import type { SubmitRequest } from "../schema/submit_request.ts";

/** Value of the label `urgency` that makes a template's jobs urgent. */
const urgentLabelValue = "high";

/** Builds the job that a member submits by naming a template. */
export function jobFromTemplate(
  config: ConfigState,
  request: SubmitRequest,
  id: JobId,
  member: MemberId,
): Job {
  const template = config.find("job", request.template);
  if (template === undefined) {
    throw new GpError("unknown_job", request.template);
  }
  const pool = config.find("pool", template.pool);
  const [venture] = config.valuesOf("venture");
  if (pool === undefined || venture === undefined) {
    throw new GpError("unknown_job", `${request.template} has no pool`);
  }
  const endsAtMs = Date.parse(venture.term.endsAt);
  if (Date.now() >= endsAtMs) {
    throw new GpError("unknown_job", "the venture's term has ended");
  }
  return {
    id,
    member,
    template: template.name,
    pool: pool.name,
    term: venture.term.name,
    urgent: template.labels.urgency === urgentLabelValue,
    tasks: template.tasks,
    needs: template.needs,
    workers: [...pool.workers, ...template.workers],
    runMs: template.runMs,
    maxAttempts: template.maxAttempts,
    maxEvictions: template.maxEvictions,
    endsAtMs,
    input: request.input,
  };
}
