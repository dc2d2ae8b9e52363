import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../adapters/system_clock.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import { cancellationKey } from "../cellhost/cancellation_key.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { describeSteps } from "../core/jobs/describe_steps.ts";
import type { Row } from "../core/store/row.ts";
import { isStorable } from "../core/store/is_storable.ts";
import { JobAdmission } from "./job_admission.ts";
import type { CallerTime } from "./caller_time.ts";
import type { EntryNode } from "./entry_node.ts";
import type { RowStorer } from "./row_storer.ts";
import type { StoreOutcome } from "./store_outcome.ts";

/** An older read may miss jobs that were submitted to other entries. */
const freshWithinMs = 1_500;
/** The states in which nothing is left to cancel. */
const outcomes: ReadonlySet<string> = new Set([
  "completed",
  "failed",
  "cancelled",
]);
/** The share of a caller's time for reading what may name its job. */
const readShare = 0.5;

/** Serves callers' requests to submit, query and cancel jobs. */
export class JobService {
  readonly #admission: JobAdmission | undefined;

  constructor(
    readonly entry: EntryNode,
    readonly storer: RowStorer,
    readonly metrics: PrometheusMetrics,
    readonly log: Logger,
  ) {
    const { admission } = entry.load;
    if (admission === undefined) return;
    const isKnown = (id: JobId) => entry.directory.definitions.has(id);
    this.#admission = new JobAdmission(
      admission,
      { refresh: () => entry.jobTails.refreshShared() },
      isKnown,
      metrics,
      log,
    );
  }

  /** Whether the store cannot hold a job. */
  isTooLarge(job: JobDefinition): boolean {
    return !isStorable(rowOf(job), this.entry.options.storeLimits);
  }

  /** Stores a new job. Submitting a known id again changes nothing. */
  async submit(job: JobDefinition, time: CallerTime): Promise<StoreOutcome> {
    const { id, queue } = job;
    const { zone, hardLoad } = this.entry.options;
    const definition = hardLoad.sharesFairly ? { ...job, origin: zone } : job;
    const { directory } = this.entry;
    if (directory.definitions.has(id)) return { kind: "stored" };
    const mayBeStored = this.storer.mayHaveStored(id);
    const refusal = await this.#admission?.check(definition, mayBeStored);
    // The refresh of a refusal may have found that the job is stored.
    if (directory.definitions.has(id)) return { kind: "stored" };
    if (refusal !== undefined) {
      const { retryAfterMs } = refusal;
      return { kind: "refused", reason: "overload", retryAfterMs };
    }
    const outcome = await this.storer.store(rowOf(definition), time);
    const { kind } = outcome;
    if (kind === "stored") directory.submit(definition);
    this.metrics.count("requests", { call: "submit", outcome: kind });
    const shape = describeSteps(definition);
    this.log.info("submit", { job: id, queue, outcome: kind, shape });
    return outcome;
  }

  /**
   * Returns a job's state; `unknown` if there is no such job, `unsure` if one
   * may exist that this entry has not read, or that it may have stored itself.
   */
  async state(
    id: JobId,
    time: CallerTime,
  ): Promise<JobState | "unknown" | "unsure"> {
    const known = this.entry.directory.state(id);
    if (known !== undefined) return known;
    const isRead = await this.#refresh(time);
    const refreshed = this.entry.directory.state(id);
    if (refreshed !== undefined) return refreshed;
    const isFresh = isRead ||
      this.entry.jobTails.ageMs(systemClock) < freshWithinMs;
    return isFresh && !this.storer.mayStillStore(id) ? "unknown" : "unsure";
  }

  /** Reads the newest jobs in a share of the caller's time, if the store answers. */
  async #refresh({ withinMs, signal }: CallerTime): Promise<boolean> {
    const { jobTails } = this.entry;
    if (jobTails.isUnreachable) return false;
    return await Promise.race([
      jobTails.refreshShared(),
      sleep(withinMs * readShare, false, { signal }).catch(() => false),
    ]);
  }

  /**
   * Cancels a job; returns `gone` if there is no such job. The cancellation is
   * stored even then: an append without answer, of this entry or of another, may
   * store the job yet, and a read may be too old to show it.
   */
  async cancel(
    id: JobId,
    time: CallerTime,
  ): Promise<StoreOutcome | { readonly kind: "gone" }> {
    const state = await this.state(id, time);
    if (outcomes.has(state)) return { kind: "stored" };
    const row = { key: cancellationKey(id), value: JSON.stringify(Date.now()) };
    const outcome = await this.storer.store(row, time);
    const { kind } = outcome;
    if (kind === "stored") this.entry.directory.cancel(id);
    this.metrics.count("requests", { call: "cancel", outcome: kind });
    this.log.info("cancel", { job: id, state, outcome: kind });
    return kind === "stored" && state === "unknown"
      ? { kind: "gone" }
      : outcome;
  }

  /**
   * Counts the queue's jobs that have not started; undefined before all jobs
   * have been read.
   */
  waiting(queue: string): number | undefined {
    if (!this.entry.jobTails.isCaughtUp) return undefined;
    return [...this.entry.directory.waiting(queue)].length;
  }
}

function rowOf(definition: JobDefinition): Row {
  return { key: definition.id, value: JSON.stringify(definition) };
}
