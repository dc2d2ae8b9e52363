import type { MemberId } from "../../schema/member_id.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { AdmissionEffect } from "./admission_effect.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

/** Time reserved for the answer's way back to the caller. */
const returnTripMs = 2;

/**
 * Admission control for one runner: no more requests at once than its slots, a
 * bounded queue in order of deadlines, and early refusal of requests that
 * cannot be answered in time.
 */
export class Admission {
  readonly limit: ConcurrencyLimit;
  maxQueued: number;
  /** Whether new requests are refused; accepted ones still run. */
  isClosed = false;
  readonly #running = new Map<
    string,
    AdmissionRequest & { startedAtMs: number }
  >();
  #queue: AdmissionRequest[] = [];

  constructor(slots: number, maxQueued: number) {
    this.limit = new ConcurrencyLimit(slots);
    this.maxQueued = maxQueued;
  }

  /** Number of requests at the runner. */
  get inFlight(): number {
    return this.#running.size;
  }

  /** Number of queued requests. */
  get queued(): number {
    return this.#queue.length;
  }

  /** Number of requests at the runner or queued. */
  get load(): number {
    return this.inFlight + this.queued;
  }

  /** Whether no request is at the runner or queued. */
  get isIdle(): boolean {
    return this.load === 0;
  }

  /** Runs, queues or refuses a new request. */
  *offer(request: AdmissionRequest, nowMs: number): Generator<AdmissionEffect> {
    if (this.isClosed) {
      yield this.#refuse(request, "leaving");
      return;
    }
    yield* this.expireQueued(nowMs);
    if (this.inFlight < this.limit.value && this.queued === 0) {
      yield this.#startRun(request, nowMs);
      return;
    }
    const waitMs = this.#expectedWaitMs(this.queued);
    if (nowMs + waitMs + this.#serviceMs() > request.deadlineAtMs) {
      yield this.#refuse(request, "deadline_too_short");
      return;
    }
    if (this.queued >= this.maxQueued) {
      yield* this.#replaceQueued(request);
      return;
    }
    this.#enqueue(request);
  }

  /** Frees the slot of a request that has ended, and runs queued requests. */
  *release(
    id: string,
    countsForLatency: boolean,
    nowMs: number,
  ): Generator<AdmissionEffect> {
    const running = this.#running.get(id);
    if (running === undefined) return;
    if (countsForLatency) {
      this.limit.observe(nowMs - running.startedAtMs, this.inFlight, nowMs);
    }
    this.#running.delete(id);
    yield* this.expireQueued(nowMs);
    while (this.queued > 0 && this.inFlight < this.limit.value) {
      const next = this.#dequeue();
      if (next !== undefined) yield this.#startRun(next, nowMs);
    }
  }

  /** Refuses queued requests that can no longer be answered in time. */
  *expireQueued(nowMs: number): Generator<AdmissionEffect> {
    const answeredAtMs = nowMs + this.#serviceMs();
    while (this.#queue[0] && this.#queue[0].deadlineAtMs < answeredAtMs) {
      const late = this.#queue.shift();
      if (late !== undefined) yield this.#refuse(late, "deadline_too_short");
    }
  }

  /** Drops a request whose caller has gone; false if it is not queued. */
  cancelQueued(id: string): boolean {
    const queuedBefore = this.queued;
    this.#queue = this.#queue.filter((request) => request.id !== id);
    return this.queued < queuedBefore;
  }

  /**
   * Refuses the last queued request of the member with the most of them, or the
   * new request if its own member would then have as many.
   */
  *#replaceQueued(request: AdmissionRequest): Generator<AdmissionEffect> {
    const counts = this.#countByMember(this.#queue);
    const [heaviestMember, largestCount] = largestEntry(counts);
    const ownCount = counts.get(request.member) ?? 0;
    if (heaviestMember === undefined || ownCount + 1 >= largestCount) {
      yield this.#refuse(request, "overloaded");
      return;
    }
    const index = this.#queue.findLastIndex(({ member }) =>
      member === heaviestMember
    );
    const [refused] = this.#queue.splice(index, 1);
    if (refused !== undefined) yield this.#refuse(refused, "overloaded");
    this.#enqueue(request);
  }

  /** Removes the first request of the member that has the fewest running. */
  #dequeue(): AdmissionRequest | undefined {
    const running = this.#countByMember(this.#running.values());
    let bestIndex = 0;
    let fewestRunning = Infinity;
    const seenMembers = new Set<MemberId>();
    for (const [index, { member }] of this.#queue.entries()) {
      if (seenMembers.has(member)) continue;
      seenMembers.add(member);
      const count = running.get(member) ?? 0;
      if (count >= fewestRunning) continue;
      fewestRunning = count;
      bestIndex = index;
    }
    const [next] = this.#queue.splice(bestIndex, 1);
    return next;
  }

  #startRun(request: AdmissionRequest, nowMs: number): AdmissionEffect {
    this.#running.set(request.id, { ...request, startedAtMs: nowMs });
    return { kind: "run", id: request.id };
  }

  #refuse({ id }: AdmissionRequest, error: ErrorKind): AdmissionEffect {
    const retryAfterMs = Math.ceil(this.#expectedWaitMs(this.queued));
    return { kind: "refuse", id, error, retryAfterMs };
  }

  #enqueue(request: AdmissionRequest): void {
    const laterIndex = this.#queue.findIndex(({ deadlineAtMs }) =>
      deadlineAtMs > request.deadlineAtMs
    );
    const index = laterIndex === -1 ? this.#queue.length : laterIndex;
    this.#queue.splice(index, 0, request);
  }

  #expectedWaitMs(ahead: number): number {
    return (ahead + 1) * this.limit.latencyMs / this.limit.value;
  }

  #serviceMs(): number {
    return this.limit.latencyMs + returnTripMs;
  }

  #countByMember(
    requests: Iterable<AdmissionRequest>,
  ): Map<MemberId, number> {
    const counts = new Map<MemberId, number>();
    for (const { member } of requests) {
      counts.set(member, (counts.get(member) ?? 0) + 1);
    }
    return counts;
  }
}

function largestEntry(
  counts: ReadonlyMap<MemberId, number>,
): [MemberId | undefined, number] {
  let best: [MemberId | undefined, number] = [undefined, 0];
  for (const [member, count] of counts) {
    if (count > best[1]) best = [member, count];
  }
  return best;
}
