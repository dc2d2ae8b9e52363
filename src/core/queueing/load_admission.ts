import { usefulFactor } from "../cell/useful_factor.ts";
import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobId } from "../jobs/job_id.ts";
import type { Queue } from "../jobs/queue.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import { demandOf } from "./demand_of.ts";
import type { JobDemand } from "./job_demand.ts";
import type { LoadSummary } from "./load_summary.ts";
import { PromisedReturns } from "./promised_returns.ts";

type PoolSummary = LoadSummary["pools"][number];

/** An older summary says nothing: its keeper may be gone. */
const maxSummaryAgeMs = 1_500;
/** Nothing is refused while this share of a pool's CPU is free. */
const acceptingFreeShare = 0.1;
/**
 * Workers that were there this recently may return: neither a restart of all
 * workers nor a keeper that does not know them all is a reason to refuse.
 */
const capacityMemoryMs = 30_000;
const minRetryAfterMs = 1_000;

interface AdmittedJob {
  readonly pool: string;
  readonly demand: JobDemand;
  readonly receivedMs: number;
}

interface Capacity {
  readonly milli: number;
  readonly atMs: number;
}

/**
 * Refuses under overload the jobs that cannot end while their callers have use
 * for them, even if the pool's whole CPU served only the work before them. It
 * accepts whatever it cannot judge: without a recent summary, services,
 * repeated jobs, and all jobs while a tenth of the CPU is free.
 */
export class LoadAdmission {
  readonly #queues = new Map<string, Queue>();
  #summary: LoadSummary | undefined;
  #receivedAtMs = -Infinity;
  /** The highest recent capacity of each pool's class. */
  readonly #capacities = new Map<string, Capacity>();
  /** The demands of jobs that the summary does not hold yet. */
  readonly #admitted = new Map<JobId, AdmittedJob>();
  readonly #returns = new PromisedReturns();

  setQueues(queues: Iterable<Queue>): void {
    for (const queue of queues) this.#queues.set(queue.name, queue);
  }

  /** Applies a keeper's newest summary. */
  receive(summary: LoadSummary, nowMs: number): void {
    this.#summary = summary;
    this.#receivedAtMs = nowMs;
    for (const { pool, classes } of summary.pools) {
      this.#noteCapacity(`${pool} reserved`, classes.reserved, nowMs);
      this.#noteCapacity(`${pool} filler`, classes.filler, nowMs);
    }
    for (const [id, { receivedMs }] of this.#admitted) {
      if (receivedMs <= summary.atMs) this.#admitted.delete(id);
    }
  }

  /** Notes a job that was stored by any entry. */
  noteStored(job: JobDefinition): void {
    const { atMs } = this.#summary ?? {};
    if (atMs === undefined || job.receivedMs <= atMs) return;
    const demand = this.#demandOf(job);
    if (demand === undefined) return;
    const pool = this.#queues.get(job.queue)!.pool;
    this.#admitted.set(job.id, { pool, demand, receivedMs: job.receivedMs });
  }

  /** Decides on a job that is not known, by the monotonic clock. */
  decide(job: JobDefinition, nowMs: number): AdmissionDecision {
    return this.#refusalOf(job, nowMs) ??
      { kind: "accept", hasReturned: this.#returns.remove(job.id) };
  }

  #refusalOf(
    job: JobDefinition,
    nowMs: number,
  ): AdmissionDecision | undefined {
    const summaryAgeMs = nowMs - this.#receivedAtMs;
    if (summaryAgeMs > maxSummaryAgeMs) return undefined;
    const name = this.#queues.get(job.queue)?.pool;
    const pool = this.#summary?.pools.find(({ pool }) => pool === name);
    const demand = this.#demandOf(job);
    if (pool === undefined || demand === undefined || hasFree(pool, demand)) {
      return undefined;
    }
    const { pool: poolName } = pool;
    const { cpuClass, chainMs, milliMs, objectiveMs } = demand;
    const capacityMilli =
      this.#capacities.get(`${poolName} ${cpuClass}`)?.milli ?? 0;
    if (capacityMilli === 0) return undefined;
    const aheadMilliMs = pool.classes[cpuClass].runningMilliMs +
      waitingAhead(pool, demand) + this.#admittedAhead(poolName, demand) +
      this.#returns.workBefore(job.id, poolName, nowMs);
    const earliestEndMs = Math.max(
      chainMs,
      (aheadMilliMs + milliMs) / capacityMilli,
    );
    const usefulMs = usefulFactor * objectiveMs;
    if (earliestEndMs <= usefulMs) return undefined;
    // Each refused job adds to the work before the next one, so the callers
    // return one after the other.
    const retryAfterMs = Math.max(
      minRetryAfterMs,
      Math.ceil(earliestEndMs - usefulMs),
    );
    this.#returns.add(job.id, poolName, milliMs, nowMs + retryAfterMs);
    return {
      kind: "refuse",
      reason: "overloaded",
      retryAfterMs,
      earliestEndMs,
      usefulMs,
      summaryAgeMs,
    };
  }

  #demandOf(job: JobDefinition): JobDemand | undefined {
    const queue = this.#queues.get(job.queue);
    return queue === undefined ? undefined : demandOf(job, queue);
  }

  #noteCapacity(
    key: string,
    { capacityMilli: milli }: { readonly capacityMilli: number },
    nowMs: number,
  ): void {
    const known = this.#capacities.get(key);
    const isHighest = known === undefined || milli >= known.milli ||
      nowMs - known.atMs > capacityMemoryMs;
    if (isHighest) this.#capacities.set(key, { milli, atMs: nowMs });
  }

  /** The CPU time of later jobs than the summary's, by any entry. */
  #admittedAhead(pool: string, demand: JobDemand): number {
    let milliMs = 0;
    for (const { pool: other, demand: admitted } of this.#admitted.values()) {
      if (other === pool && isAhead(admitted, demand)) {
        milliMs += admitted.milliMs;
      }
    }
    return milliMs;
  }
}

function hasFree(pool: PoolSummary, { cpuClass }: JobDemand): boolean {
  const own = pool.classes[cpuClass];
  return pool.freeMilli >= acceptingFreeShare * pool.capacityMilli ||
    own.freeMilli >= acceptingFreeShare * own.capacityMilli;
}

function waitingAhead(pool: PoolSummary, demand: JobDemand): number {
  let aheadMilliMs = 0;
  for (
    const [priority, rankMs, milliMs] of pool.classes[demand.cpuClass].places
  ) {
    if (priority > demand.priority) break;
    if (priority === demand.priority && rankMs > demand.rankMs) break;
    aheadMilliMs = milliMs;
  }
  return aheadMilliMs;
}

/** Whether a job goes before another one, of those that take CPU from it. */
function isAhead(a: JobDemand, b: JobDemand): boolean {
  if (b.cpuClass === "reserved" && a.cpuClass === "filler") return false;
  return a.priority < b.priority ||
    (a.priority === b.priority && a.rankMs <= b.rankMs);
}
