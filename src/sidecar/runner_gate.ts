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
import type { GateCall } from "./gate_call.ts";
import type { RunnerInfo } from "./runner_info.ts";

/** A request may hold its slot this long, whatever its caller's deadline. */
const longestRunMs = 30_000;

/** How often the queue is looked through for late requests. */
const expireEveryMs = 10;

interface Pending {
  readonly start: () => void;
  readonly refuse: (error: GpError) => void;
}

/** Lets calls through to one runner, under the admission's rules. */
export class RunnerGate {
  readonly admission: Admission;
  readonly orders = new OrderBook();
  readonly runner: HttpRunner;
  readonly #pools: HttpPools;
  readonly #pending = new Map<string, Pending>();
  #nextAttempt = 0;
  #timer: NodeJS.Timeout | undefined;

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
    clearTimeout(this.#timer);
    await this.#pools.close();
  }

  /** Runs a call or refuses it; an order runs at most once by its key. */
  async call(call: GateCall): Promise<CallOutcome> {
    if (call.kind === "check") {
      return await this.#beforeDeadline(call, this.#admit(call));
    }
    const key = call.idempotencyKey;
    const bodyHash = hashText(new TextDecoder().decode(call.body));
    const known = this.orders.find(key);
    if (known !== undefined) {
      this.metrics.count("order.repeated");
      if (known.bodyHash !== bodyHash) return failed("duplicate_key");
      if (known.outcome !== undefined) return known.outcome;
      const end = new Promise<CallOutcome>((hear) => known.waiting.push(hear));
      return await this.#beforeDeadline(call, end);
    }
    if (this.#mayBeForgotten(key)) return failed("outcome_unknown");
    this.orders.begin(key, bodyHash, monotonicNowMs());
    const end = this.#admit(call).then((outcome) => {
      this.orders.end(key, outcome);
      return outcome;
    });
    return await this.#beforeDeadline(call, end);
  }

  #mayBeForgotten(key: string): boolean {
    const mintedAtMs = OrderKey.parse(key)?.mintedAtMs;
    return mintedAtMs === undefined ||
      this.orders.mayHaveForgotten(mintedAtMs, Date.now());
  }

  async #admit(call: GateCall): Promise<CallOutcome> {
    const id = `${call.requestId}.${this.#nextAttempt++}`;
    const startedAtMs = monotonicNowMs();
    const tookMs = (): number => monotonicNowMs() - startedAtMs;
    const refusal = await this.#waitForSlot(id, call);
    if (refusal !== undefined) {
      this.metrics.count("refused", refusal.kind);
      return { ok: false, error: refusal, tookMs: tookMs() };
    }
    try {
      const body = await this.runner.call(
        call.kind,
        id,
        call.body,
        longestRunMs,
      );
      this.#finish(id, true);
      return { ok: true, body, tookMs: tookMs() };
    } catch (cause) {
      const error = GpError.from(cause);
      this.metrics.count("runner_error", error.kind);
      this.#finish(id, false);
      return { ok: false, error, tookMs: tookMs() };
    }
  }

  #waitForSlot(id: string, call: GateCall): Promise<GpError | undefined> {
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
      this.#carryOut(this.admission.offer(request, monotonicNowMs()));
      this.#watchQueue();
    });
  }

  /** Refuses what waits too long, for as long as anything waits. */
  #watchQueue(): void {
    if (this.#timer !== undefined || this.admission.queued === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#carryOut(this.admission.expire(monotonicNowMs()));
      this.#watchQueue();
    }, expireEveryMs);
  }

  #finish(id: string, countsForLatency: boolean): void {
    const nowMs = monotonicNowMs();
    this.#carryOut(this.admission.finished(id, countsForLatency, nowMs));
  }

  #carryOut(effects: Iterable<AdmissionEffect>): void {
    for (const effect of effects) {
      const pending = this.#pending.get(effect.id);
      this.#pending.delete(effect.id);
      if (effect.kind === "run") pending?.start();
      else pending?.refuse(new GpError(effect.error, "", effect.retryAfterMs));
    }
  }

  /** The caller hears by its deadline; the request keeps its slot till its end. */
  #beforeDeadline(
    call: GateCall,
    end: Promise<CallOutcome>,
  ): Promise<CallOutcome> {
    const leftMs = Math.max(0, call.deadlineAtMs - monotonicNowMs());
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.metrics.count("runner_error", "timeout");
        resolve(failed("timeout"));
      }, leftMs);
      void end.then((outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
  }
}

function failed(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}
