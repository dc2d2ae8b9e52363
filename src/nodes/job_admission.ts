import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { StreamTail } from "../cellhost/stream_tail.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { AdmissionDecision } from "../core/queueing/admission_decision.ts";
import type { LoadAdmission } from "../core/queueing/load_admission.ts";

type Refusal = Extract<AdmissionDecision, { kind: "refuse" }>;

/** A refusal waits this long for the store to show that the job is new. */
const maxCheckMs = 100;

/** Applies an entry's `LoadAdmission` to callers' jobs. */
export class JobAdmission {
  constructor(
    readonly admission: LoadAdmission,
    readonly jobTails: Pick<StreamTail, "refresh">,
    readonly isKnown: (id: JobId) => boolean,
    readonly metrics: PrometheusMetrics,
    readonly log: Logger,
  ) {}

  /**
   * Returns the refusal of a job that was surely never stored. What the store
   * does not confirm in time is not refused.
   */
  async check(
    job: JobDefinition,
    mayBeStored: boolean,
  ): Promise<Refusal | undefined> {
    const { id, queue } = job;
    if (mayBeStored) return undefined;
    const decision = this.admission.decide(job, performance.now());
    const party = job.origin ?? "";
    if (decision.kind === "accept") {
      const name = decision.hasReturned ? "jobs_returned" : "jobs_admitted";
      this.metrics.count(name, { queue, party });
      return undefined;
    }
    const isRead = await Promise.race([
      this.jobTails.refresh(),
      sleep(maxCheckMs, false),
    ]);
    if (!isRead || this.isKnown(id)) return undefined;
    this.metrics.count("jobs_refused", { queue, party });
    this.log.info("job_refused", {
      job: id,
      queue,
      party,
      reason: decision.reason,
      earliest_end_ms: Math.round(decision.earliestEndMs),
      useful_ms: Math.round(decision.usefulMs),
      summary_age_ms: Math.round(decision.summaryAgeMs),
      retry_after_ms: decision.retryAfterMs,
    });
    return decision;
  }
}
