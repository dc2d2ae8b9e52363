import type { MemberId } from "../../schema/member_id.ts";
import type { ErrorKind } from "../errors/error_kind.ts";
import type { AdmissionEffect } from "./admission_effect.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";

/** Time that the way back to the caller may take. */
const returnMs = 2;

/**
 * The last gate before a runner: never more requests than its slots, a bounded
 * queue in order of deadlines, and early refusal of what cannot be in time.
 */
export class Admission {
  readonly limit: ConcurrencyLimit;
  maxQueued: number;
  isClosed = false;
  readonly #running = new Map<string, AdmissionRequest & { sinceMs: number }>();
  #queue: AdmissionRequest[] = [];

  constructor(slots: number, maxQueued: number) {
    this.limit = new ConcurrencyLimit(slots);
    this.maxQueued = maxQueued;
  }

  /** How many requests run. */
  get inFlight(): number {
    return this.#running.size;
  }

  /** How many requests wait. */
  get queued(): number {
    return this.#queue.length;
  }

  /** How many requests run or wait. */
  get load(): number {
    return this.inFlight + this.queued;
  }

  /** Whether nothing runs or waits. */
  get isIdle(): boolean {
    return this.load === 0;
  }

  /** Takes a new request: it runs, waits or is refused. */
  *offer(request: AdmissionRequest, nowMs: number): Generator<AdmissionEffect> {
    if (this.isClosed) {
      yield this.#refuse(request, "leaving");
      return;
    }
    yield* this.expire(nowMs);
    if (this.inFlight < this.limit.value && this.queued === 0) {
      yield this.#run(request, nowMs);
      return;
    }
    const waitMs = this.#expectedWaitMs(this.queued);
    if (nowMs + waitMs + this.#serviceMs() > request.deadlineAtMs) {
      yield this.#refuse(request, "deadline_too_short");
      return;
    }
    if (this.queued >= this.maxQueued) {
      yield* this.#makeRoom(request);
      return;
    }
    this.#enqueue(request);
  }

  /** A request is over at the runner; the next may run. */
  *finished(
    id: string,
    countsForLatency: boolean,
    nowMs: number,
  ): Generator<AdmissionEffect> {
    const running = this.#running.get(id);
    if (running === undefined) return;
    if (countsForLatency) {
      this.limit.observe(nowMs - running.sinceMs, this.inFlight, nowMs);
    }
    this.#running.delete(id);
    yield* this.expire(nowMs);
    while (this.queued > 0 && this.inFlight < this.limit.value) {
      const next = this.#takeNext();
      if (next !== undefined) yield this.#run(next, nowMs);
    }
  }

  /** Refuses what waits but can no longer be answered in time. */
  *expire(nowMs: number): Generator<AdmissionEffect> {
    const dueMs = nowMs + this.#serviceMs();
    while (this.#queue[0] && this.#queue[0].deadlineAtMs < dueMs) {
      const late = this.#queue.shift();
      if (late !== undefined) yield this.#refuse(late, "deadline_too_short");
    }
  }

  /** Forgets a request whose caller has gone, if it still waits. */
  withdraw(id: string): boolean {
    const before = this.queued;
    this.#queue = this.#queue.filter((request) => request.id !== id);
    return this.queued < before;
  }

  /** A full queue gives way from the member that holds most of it. */
  *#makeRoom(request: AdmissionRequest): Generator<AdmissionEffect> {
    const counts = this.#countByMember(this.#queue);
    const [heaviest, most] = largest(counts);
    const own = counts.get(request.member) ?? 0;
    if (heaviest === undefined || own + 1 >= most) {
      yield this.#refuse(request, "overloaded");
      return;
    }
    const index = this.#queue.findLastIndex(({ member }) =>
      member === heaviest
    );
    const [dropped] = this.#queue.splice(index, 1);
    if (dropped !== undefined) yield this.#refuse(dropped, "overloaded");
    this.#enqueue(request);
  }

  /** The earliest deadline of the member that has the fewest running. */
  #takeNext(): AdmissionRequest | undefined {
    const running = this.#countByMember(this.#running.values());
    let best = 0;
    let fewest = Infinity;
    const seen = new Set<MemberId>();
    for (const [index, { member }] of this.#queue.entries()) {
      if (seen.has(member)) continue;
      seen.add(member);
      const count = running.get(member) ?? 0;
      if (count >= fewest) continue;
      fewest = count;
      best = index;
    }
    const [next] = this.#queue.splice(best, 1);
    return next;
  }

  #run(request: AdmissionRequest, nowMs: number): AdmissionEffect {
    this.#running.set(request.id, { ...request, sinceMs: nowMs });
    return { kind: "run", id: request.id };
  }

  #refuse({ id }: AdmissionRequest, error: ErrorKind): AdmissionEffect {
    const retryAfterMs = Math.ceil(this.#expectedWaitMs(this.queued));
    return { kind: "refuse", id, error, retryAfterMs };
  }

  #enqueue(request: AdmissionRequest): void {
    const later = this.#queue.findIndex(({ deadlineAtMs }) =>
      deadlineAtMs > request.deadlineAtMs
    );
    const index = later === -1 ? this.#queue.length : later;
    this.#queue.splice(index, 0, request);
  }

  #expectedWaitMs(ahead: number): number {
    return (ahead + 1) * this.limit.latencyMs / this.limit.value;
  }

  #serviceMs(): number {
    return this.limit.latencyMs + returnMs;
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

function largest(
  counts: ReadonlyMap<MemberId, number>,
): [MemberId | undefined, number] {
  let best: [MemberId | undefined, number] = [undefined, 0];
  for (const [member, count] of counts) {
    if (count > best[1]) best = [member, count];
  }
  return best;
}
