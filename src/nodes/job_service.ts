import { setTimeout as sleep } from "node:timers/promises";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import { cancellationKey } from "../cellhost/cancellation_key.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { describeSteps } from "../core/jobs/describe_steps.ts";
import type { Row } from "../core/store/row.ts";
import { JobAdmission } from "./job_admission.ts";
import type { EntryNode } from "./entry_node.ts";
import type { StoreHealth } from "./store_health.ts";
import type { SubmissionWriter } from "./submission_writer.ts";

/** The pause before a retry while no append may have stored the row. */
const retryPauseMs = 15;
/** The pause before a retry once an append may have stored the row. */
const uncertainPauseMs = 100;
/** The share of a caller's time for retries; another entry may use the rest. */
const retryShare = 0.5;
/** How many refused appends end a request as refused. */
const maxRefusals = 3;
/** An older read may miss jobs that were submitted to other entries. */
const freshWithinMs = 1_500;

/** The outcome of a request to store a row. */
type Stored =
  | "stored"
  /** Not stored, and will not be. */
  | "refused"
  /** It may have been stored, or may be yet. */
  | "unknown";

/** Serves callers' requests to submit, query and cancel jobs. */
export class JobService {
  readonly #admission: JobAdmission | undefined;

  constructor(
    readonly entry: EntryNode,
    readonly writer: SubmissionWriter,
    readonly health: StoreHealth,
    readonly metrics: PrometheusMetrics,
    readonly log: Logger,
  ) {
    const { admission } = entry.load;
    if (admission === undefined) return;
    const isKnown = (id: JobId) => entry.directory.definitions.has(id);
    this.#admission = new JobAdmission(
      admission,
      entry.jobsTail,
      isKnown,
      metrics,
      log,
    );
  }

  /** Stores a new job. Submitting a known id again changes nothing. */
  async submit(job: JobDefinition, withinMs: number): Promise<Stored> {
    const { id, queue } = job;
    const { zone, hardLoad } = this.entry.options;
    const origin = hardLoad?.sharesFairly ? zone : undefined;
    const definition = origin === undefined ? job : { ...job, origin };
    const { directory } = this.entry;
    if (directory.definitions.has(id)) return "stored";
    const mayBeStored = this.writer.mayHaveStored(id);
    const refusal = await this.#admission?.check(definition, mayBeStored);
    // The refresh of a refusal may have found that the job is stored.
    if (directory.definitions.has(id)) return "stored";
    if (refusal !== undefined) return "refused";
    const row = { key: id, value: JSON.stringify(definition) };
    const outcome = await this.#store(row, withinMs);
    if (outcome === "stored") directory.submit(definition);
    this.metrics.count("requests", { call: "submit", outcome });
    const shape = describeSteps(definition);
    this.log.info("submit", { job: id, queue, outcome, shape });
    return outcome;
  }

  /**
   * Returns a job's state; `unknown` if there is no such job, `unsure` if one
   * may exist that this entry has not read.
   */
  async state(id: JobId): Promise<JobState | "unknown" | "unsure"> {
    const known = this.entry.directory.state(id);
    if (known !== undefined) return known;
    const isFresh = await this.entry.jobsTail.refresh();
    const refreshed = this.entry.directory.state(id);
    if (refreshed !== undefined) return refreshed;
    return isFresh || this.entry.isFresh(freshWithinMs) ? "unknown" : "unsure";
  }

  /** Cancels a job; returns `gone` if there is no such job. */
  async cancel(id: JobId, withinMs: number): Promise<Stored | "gone"> {
    const state = await this.state(id);
    if (state === "unknown") return "gone";
    if (state === "unsure") return "refused";
    if (state !== "queued" && state !== "running") return "stored";
    const row = { key: cancellationKey(id), value: JSON.stringify(Date.now()) };
    const outcome = await this.#store(row, withinMs);
    if (outcome === "stored") this.entry.directory.cancel(id);
    this.metrics.count("requests", { call: "cancel", outcome });
    this.log.info("cancel", { job: id, outcome });
    return outcome;
  }

  /** Counts the queue's jobs that have not started. */
  waiting(queue: string): number {
    return [...this.entry.directory.waiting(queue)].length;
  }

  /**
   * Stores a row, retrying for a share of the caller's time. Once an append may
   * have stored the row, the outcome is never `refused`.
   */
  async #store(row: Row, withinMs: number): Promise<Stored> {
    if (this.health.isUnreachable(performance.now())) {
      return this.writer.mayHaveStored(row.key) ? "unknown" : "refused";
    }
    const untilMs = performance.now() + withinMs * retryShare;
    let isUncertain = false;
    let refusals = 0;
    while (performance.now() < untilMs && refusals < maxRefusals) {
      const result = await this.writer.append(row);
      if (result.isOk) return "stored";
      if (result.error.kind === "unknown") isUncertain = true;
      else if (!isUncertain) refusals += 1;
      await sleep(isUncertain ? uncertainPauseMs : retryPauseMs);
    }
    return isUncertain ? "unknown" : "refused";
  }
}
