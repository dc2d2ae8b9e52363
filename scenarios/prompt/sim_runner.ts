import { Admission } from "../../src/core/admit/admission.ts";
import type { AdmissionEffect } from "../../src/core/admit/admission_effect.ts";
import { GpError } from "../../src/core/errors/gp_error.ts";
import type { CallOutcome } from "../../src/core/retry/call_outcome.ts";
import type { ServiceCall } from "../../src/core/retry/service_call.ts";
import type { EventQueue } from "../world/event_queue.ts";

interface PendingCall {
  readonly sentAtMs: number;
  readonly done: (outcome: CallOutcome) => void;
}

const expireIntervalMs = 10;

/** A runner and the admission control of its sidecar, on virtual time. */
export class SimRunner {
  readonly admission: Admission;
  isAlive = true;
  /** Requests that were started. */
  startedRequests = 0;
  /** Highest number of requests that ran at once. */
  maxRunning = 0;
  readonly #pendingCalls = new Map<string, PendingCall>();
  #nextCall = 0;

  constructor(
    readonly id: string,
    readonly slots: number,
    maxQueued: number,
    readonly eventQueue: EventQueue,
    readonly workMs: () => number,
  ) {
    this.admission = new Admission(slots, maxQueued);
    this.#expireQueued();
  }

  /** Handles a call; the callback gets the outcome, unless the runner dies. */
  handleCall(request: ServiceCall, done: (outcome: CallOutcome) => void): void {
    const id = `${request.id}.${this.#nextCall++}`;
    const { nowMs } = this.eventQueue;
    this.#pendingCalls.set(id, { sentAtMs: nowMs, done });
    const { member, deadlineAtMs } = request;
    this.#runEffects(this.admission.offer({ id, member, deadlineAtMs }, nowMs));
  }

  #runEffects(effects: Iterable<AdmissionEffect>): void {
    for (const effect of effects) {
      if (effect.kind === "run") this.#run(effect.id);
      else {this.#end(
          effect.id,
          new GpError(effect.error, "", effect.retryAfterMs),
        );}
    }
  }

  #run(id: string): void {
    this.startedRequests += 1;
    this.maxRunning = Math.max(this.maxRunning, this.admission.inFlight);
    this.eventQueue.after(this.workMs(), () => {
      if (!this.isAlive) return;
      const { nowMs } = this.eventQueue;
      this.#runEffects(this.admission.release(id, true, nowMs));
      this.#end(id, undefined);
    });
  }

  #end(id: string, error: GpError | undefined): void {
    const pending = this.#pendingCalls.get(id);
    this.#pendingCalls.delete(id);
    const tookMs = this.eventQueue.nowMs - (pending?.sentAtMs ?? 0);
    const { load } = this.admission;
    pending?.done(
      error === undefined
        ? { ok: true, body: new Uint8Array(), load, tookMs }
        : { ok: false, error, load, tookMs },
    );
  }

  #expireQueued(): void {
    this.eventQueue.after(expireIntervalMs, () => {
      if (!this.isAlive) return;
      this.#runEffects(this.admission.expireQueued(this.eventQueue.nowMs));
      this.#expireQueued();
    });
  }
}
