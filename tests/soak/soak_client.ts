import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import { callersHost } from "./callers_host.ts";
import type { SoakJob } from "./soak_job.ts";

const requestTimeoutMs = 3_000;
const retryPauseMs = 120;
const maxAttempts = 8;
/** The share of accepted jobs that their caller cancels. */
const cancelledShare = 0.1;
const idDigits = 16;

/** Submits jobs over HTTP as callers do, and queries their states. */
export class SoakClient {
  constructor(
    readonly fronts: readonly string[],
    readonly checker: GuaranteeChecker,
    readonly random: RandomSource,
    /** Whether a sixteenth of the jobs crash the runners that start them. */
    readonly drawsCrashes = true,
  ) {}

  /** Submits a random job, and retries under its id until it is answered. */
  async submit(): Promise<void> {
    const job = this.#drawJob();
    await this.handIn(job, maxAttempts);
    if (!job.isAccepted || this.random.next() > cancelledShare) return;
    await sleep(this.random.next() * requestTimeoutMs);
    await this.cancel(job);
  }

  /** Submits a job until it is answered, a number of times at most. */
  async handIn(job: SoakJob, attempts: number): Promise<void> {
    this.checker.jobs.set(job.id, job);
    const body = {
      spec: job.payload,
      steps: job.steps.map((step) => ({
        count: step.count,
        dependsOn: step.after,
        cpu: step.cpuMilli,
        memMb: 10,
        ...(step.lasts ? { longRunning: true } : { estimatedMs: step.ms }),
        ...(step.mostPerRunner ? { antiAffinity: step.mostPerRunner } : {}),
      })),
    };
    const statuses: number[] = [];
    while (statuses.length < attempts) {
      const { status } = await this.#call("POST", job.id, body);
      statuses.push(status);
      if (status === 200) job.isAccepted = true;
      if (status === 200 || status === 400 || status === 404) break;
      await sleep(retryPauseMs);
    }
    job.isRefused = statuses.every((status) => status === 503);
  }

  /** Cancels a job; returns whether that was confirmed. */
  async cancel(job: SoakJob): Promise<boolean> {
    job.isCancelled = true;
    const { status } = await this.#call("DELETE", job.id);
    return status === 200 || status === 410;
  }

  /** Queries each job that has not ended; returns whether all have. */
  async queryUnfinishedJobs(): Promise<boolean> {
    let isFinished = true;
    for (const job of this.checker.jobs.values()) {
      if (!job.isAccepted) continue;
      if (hasEnded(job)) continue;
      isFinished = false;
      const { status, body } = await this.#call("GET", job.id);
      if (status === 200) this.checker.onJobState(job.id, String(body.state));
      if (status === 410) this.checker.fail("lost job", `${job.id} is unknown`);
    }
    return isFinished;
  }

  async #call(
    method: "POST" | "GET" | "DELETE",
    id: string,
    body?: unknown,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const index = Math.floor(this.random.next() * this.fronts.length);
    try {
      const response = await request(`http://${this.fronts[index]}/q/${id}`, {
        method,
        headers: {
          host: callersHost,
          "content-type": "application/json",
          "deadline-ms": String(requestTimeoutMs),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      const parsed = await response.body.json() as Record<string, unknown>;
      return { status: response.statusCode, body: parsed };
    } catch {
      // Without an answer the outcome is unknown, so the caller retries.
      return { status: 0, body: {} };
    }
  }

  #drawJob(): SoakJob {
    const digit = () => Math.floor(this.random.next() * 16).toString(16);
    const id = Array.from({ length: idDigits }, digit).join("") as JobId;
    const steps = Array.from(
      { length: 1 + this.#randomUpTo(2) },
      (_, step) => ({
        count: 1 + this.#randomUpTo(4),
        after: step === 0 ? [] : [step - 1],
        cpuMilli: 200 + 100 * this.#randomUpTo(10),
        ms: 100 + 100 * this.#randomUpTo(12),
      }),
    );
    return {
      id,
      payload: `p${id}`,
      steps,
      crashesRunners: this.drawsCrashes && id.startsWith("0"),
      isAccepted: false,
      isRefused: false,
      isCancelled: false,
      hasRun: false,
      state: "none",
    };
  }

  #randomUpTo(max: number): number {
    return Math.floor(this.random.next() * (max + 1));
  }
}

function hasEnded({ state, crashesRunners }: SoakJob): boolean {
  return state === "completed" || state === "canceled" ||
    (state === "failed" && crashesRunners);
}
