import { HttpPools } from "../adapters/http_pools.ts";
import { HttpRunner } from "../adapters/http_runner.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { Admission } from "../core/admit/admission.ts";
import type { AdmissionEffect } from "../core/admit/admission_effect.ts";
import { OrderBook } from "../core/admit/order_book.ts";
import { OrderKey } from "../core/admit/order_key.ts";
import { GpError } from "../core/errors/gp_error.ts";
import { hashText } from "../core/hash/hash_text.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import type { MemberId } from "../schema/member_id.ts";
import type { RunnerCall } from "./runner_call.ts";
import type { RunnerInfo } from "./runner_info.ts";

/** Longest time that a request holds its slot, whatever its deadline. */
const maxRunMs = 30_000;

/** Interval of the checks for queued requests that are too late. */
const expireIntervalMs = 10;

interface PendingCall {
  readonly start: () => void;
  readonly refuse: (error: GpError) => void;
}

/** Forwards calls to one runner under admission control. */
export class RunnerProxy {
  readonly admission: Admission;
  readonly orders = new OrderBook();
  readonly runner: HttpRunner;
  readonly #pools: HttpPools;
  readonly #pending = new Map<string, PendingCall>();
  #nextAttempt = 0;
  #expireTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly info: RunnerInfo,
    maxQueued: number,
    readonly metrics: StatsdMetrics,
  ) {
    this.admission = new Admission(info.slots, maxQueued);
    this.#pools = new HttpPools(info.connections);
    this.runner = new HttpRunner(this.#pools, info.address);
  }

  /** Closes the connections to the runner. */
  async close(): Promise<void> {
    clearTimeout(this.#expireTimer);
    await this.#pools.close();
  }

  /** Runs a call or refuses it; an order runs at most once per key. */
  async call(call: RunnerCall): Promise<CallOutcome> {
    if (call.kind === "check") {
      return await this.#answerByDeadline(call, this.#runWhenAdmitted(call));
    }
    const key = call.idempotencyKey;
    const bodyHash = hashText(new TextDecoder().decode(call.body));
    const known = this.orders.find(key);
    if (known !== undefined) {
      this.metrics.count("order.repeated");
      if (known.bodyHash !== bodyHash) return failure("duplicate_key");
      if (known.outcome !== undefined) return known.outcome;
      const result = new Promise<CallOutcome>((resolve) =>
        known.waiting.push(resolve)
      );
      return await this.#answerByDeadline(call, result);
    }
    // The key may be that of an order which ran here and was forgotten.
    if (this.#mayHaveForgotten(key)) return failure("outcome_unknown");
    this.orders.register(key, bodyHash, monotonicNowMs());
    const result = this.#runWhenAdmitted(call).then((outcome) => {
      this.orders.complete(key, outcome);
      return outcome;
    });
    return await this.#answerByDeadline(call, result);
  }

  #mayHaveForgotten(key: string): boolean {
    const mintedAtMs = OrderKey.parse(key)?.mintedAtMs;
    return mintedAtMs === undefined ||
      this.orders.mayHaveForgotten(mintedAtMs, Date.now());
  }

  async #runWhenAdmitted(call: RunnerCall): Promise<CallOutcome> {
    const id = `${call.requestId}.${this.#nextAttempt++}`;
    const startedAtMs = monotonicNowMs();
    const elapsedMs = (): number => monotonicNowMs() - startedAtMs;
    const refusal = await this.#waitForSlot(id, call);
    if (refusal !== undefined) {
      this.metrics.count("refused", refusal.kind);
      return { ok: false, error: refusal, tookMs: elapsedMs() };
    }
    try {
      const body = await this.runner.call(
        call.kind,
        id,
        call.body,
        maxRunMs,
      );
      this.#releaseSlot(id, true);
      return { ok: true, body, tookMs: elapsedMs() };
    } catch (cause) {
      const error = GpError.from(cause);
      this.metrics.count("runner_error", error.kind);
      this.#releaseSlot(id, false);
      return { ok: false, error, tookMs: elapsedMs() };
    }
  }

  #waitForSlot(id: string, call: RunnerCall): Promise<GpError | undefined> {
    return new Promise((resolve) => {
      this.#pending.set(id, {
        start: () => resolve(undefined),
        refuse: (error) => resolve(error),
      });
      const request = {
        id,
        member: call.member as MemberId,
        deadlineAtMs: call.deadlineAtMs,
      };
      this.#applyEffects(this.admission.offer(request, monotonicNowMs()));
      this.#scheduleExpiry();
    });
  }

  /** Refuses late requests at intervals while any request is queued. */
  #scheduleExpiry(): void {
    if (this.#expireTimer !== undefined || this.admission.queued === 0) return;
    this.#expireTimer = setTimeout(() => {
      this.#expireTimer = undefined;
      this.#applyEffects(this.admission.expireQueued(monotonicNowMs()));
      this.#scheduleExpiry();
    }, expireIntervalMs);
  }

  #releaseSlot(id: string, countsForLatency: boolean): void {
    const nowMs = monotonicNowMs();
    this.#applyEffects(this.admission.release(id, countsForLatency, nowMs));
  }

  #applyEffects(effects: Iterable<AdmissionEffect>): void {
    for (const effect of effects) {
      const pending = this.#pending.get(effect.id);
      this.#pending.delete(effect.id);
      if (effect.kind === "run") pending?.start();
      else pending?.refuse(new GpError(effect.error, "", effect.retryAfterMs));
    }
  }

  /** Answers by the deadline; the request keeps its slot until it ends. */
  #answerByDeadline(
    call: RunnerCall,
    result: Promise<CallOutcome>,
  ): Promise<CallOutcome> {
    const leftMs = Math.max(0, call.deadlineAtMs - monotonicNowMs());
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.metrics.count("runner_error", "timeout");
        resolve(failure("timeout"));
      }, leftMs);
      void result.then((outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
  }
}

function failure(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}
