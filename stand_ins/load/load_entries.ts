import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { Queue } from "../../src/core/jobs/queue.ts";
import { LoadAdmission } from "../../src/core/queueing/load_admission.ts";
import type { LoadSummary } from "../../src/core/queueing/load_summary.ts";

interface Return {
  readonly job: JobDefinition;
  readonly firstAtMs: number;
  readonly atMs: number;
  readonly attempts: number;
}

/** Callers return when told to, but give up after so many attempts or so long. */
const maxAttempts = 5;
const callerLimitMs = 3_000;

/** Entries, one for each party, and the callers that they refuse for load. */
export class LoadEntries {
  /** The jobs that were admitted, as the store holds them. */
  readonly admitted = new Map<JobId, JobDefinition>();
  /** Refusals while a tenth of the pool's CPU was free. */
  refusedWithFree = 0;
  readonly #admissions = new Map<string, LoadAdmission>();
  #returns: Return[] = [];
  #summary: LoadSummary | undefined;

  constructor(origins: readonly string[], queues: Iterable<Queue>) {
    for (const origin of origins) {
      const admission = new LoadAdmission();
      admission.setQueues(queues);
      this.#admissions.set(origin, admission);
    }
  }

  receive(summary: LoadSummary, nowMs: number): void {
    this.#summary = summary;
    for (const each of this.#admissions.values()) each.receive(summary, nowMs);
  }

  /** Adds a job that is stored, whether a keeper is there or not. */
  store(job: JobDefinition): void {
    this.admitted.set(job.id, job);
    for (const each of this.#admissions.values()) each.noteStored(job);
  }

  /** Offers new and returning jobs; yields those that are admitted. */
  *offer(
    jobs: Iterable<JobDefinition>,
    nowMs: number,
  ): Generator<JobDefinition> {
    const due = this.#returns.filter(({ atMs }) => atMs <= nowMs);
    this.#returns = this.#returns.filter(({ atMs }) => atMs > nowMs);
    for (const { job, firstAtMs, attempts } of due) {
      const again = { ...job, receivedMs: nowMs };
      if (this.#isAdmitted(again, firstAtMs, attempts + 1, nowMs)) yield again;
    }
    for (const job of jobs) {
      if (this.#isAdmitted(job, nowMs, 1, nowMs)) yield job;
    }
  }

  #isAdmitted(
    job: JobDefinition,
    firstAtMs: number,
    attempts: number,
    nowMs: number,
  ): boolean {
    const admission = this.#admissions.get(job.origin ?? "");
    const decision = admission?.decide(job, nowMs);
    if (decision?.kind === "refuse") {
      const [pool] = this.#summary?.pools ?? [];
      if (pool !== undefined && pool.freeMilli >= pool.capacityMilli / 10) {
        this.refusedWithFree += 1;
      }
      const atMs = nowMs + decision.retryAfterMs;
      if (attempts < maxAttempts && atMs - firstAtMs <= callerLimitMs) {
        this.#returns.push({ job, firstAtMs, atMs, attempts });
      }
      return false;
    }
    this.store(job);
    return true;
  }
}
