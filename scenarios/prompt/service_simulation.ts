import { GpError } from "../../src/core/errors/gp_error.ts";
import { PeerTable } from "../../src/core/members/peer_table.ts";
import type { PeerInfo } from "../../src/core/members/peer_info.ts";
import type { CallAttempt } from "../../src/core/retry/call_attempt.ts";
import type { CallOutcome } from "../../src/core/retry/call_outcome.ts";
import { planAttempts } from "../../src/core/retry/plan_attempts.ts";
import type { ServiceCall } from "../../src/core/retry/service_call.ts";
import { RetryBudget } from "../../src/core/retry/retry_budget.ts";
import { LeastConnections } from "../../src/core/route/least_connections.ts";
import type { Picker } from "../../src/core/route/picker.ts";
import { RoundRobin } from "../../src/core/route/round_robin.ts";
import { Router } from "../../src/core/route/router.ts";
import { TwoChoices } from "../../src/core/route/two_choices.ts";
import type { MemberId } from "../../src/schema/member_id.ts";
import type { PeerId } from "../../src/schema/peer_id.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { EventQueue } from "../world/event_queue.ts";
import type { ServiceSimulationOptions } from "./service_simulation_options.ts";
import { ServiceSimulationResults } from "./service_simulation_results.ts";
import { SimRunner } from "./sim_runner.ts";

/** One-way network delay within a data centre, and between two. */
const localDelayMs = 0.5;
const remoteDelayMs = 1.5;
const announceIntervalMs = 1_000;
const maxQueued = 64;
const retryRatio = 0.1;
/** By how much a slow runner takes longer. */
const slowFactor = 10;
const dataCentreCount = 3;

interface SimEntry {
  readonly dataCentre: string;
  readonly router: Router;
  readonly budget: RetryBudget;
}

/**
 * Simulates a service with its entries and runners on virtual time. Routing,
 * retries and admission are the real ones.
 */
export class ServiceSimulation {
  readonly eventQueue = new EventQueue();
  readonly results = new ServiceSimulationResults();
  readonly runners: SimRunner[] = [];
  readonly #random: SeededRandom;
  readonly #entries: SimEntry[] = [];
  #nextId = 0;

  constructor(readonly options: ServiceSimulationOptions) {
    this.#random = new SeededRandom(options.seed);
    for (let n = 0; n < options.runners; n++) this.#addRunner(n);
    for (let n = 0; n < options.entries; n++) this.#addEntry(n);
    this.#announce();
  }

  /** Requests per second that all slots serve when no runner is slow. */
  get capacityPerSecond(): number {
    const { runners, slots, meanMs } = this.options;
    return runners * slots * 1_000 / meanMs;
  }

  /** Runs the whole load and waits for the last requests to end. */
  run(): ServiceSimulationResults {
    const { lastsMs, dyingRunners, timeoutMs } = this.options;
    this.eventQueue.after(lastsMs / 2, () => {
      for (const runner of this.runners.slice(0, dyingRunners)) {
        runner.isAlive = false;
      }
    });
    this.#scheduleArrival();
    while (this.eventQueue.runNext(lastsMs + 2 * timeoutMs)) continue;
    this.results.startedRequests = this.runners.reduce(
      (sum, r) => sum + r.startedRequests,
      0,
    );
    return this.results;
  }

  #scheduleArrival(): void {
    const { load, lastsMs } = this.options;
    const meanGapMs = 1_000 / (this.capacityPerSecond * load);
    const gapMs = -Math.log(1 - this.#random.next()) * meanGapMs;
    this.eventQueue.after(gapMs, () => {
      if (this.eventQueue.nowMs > lastsMs) return;
      this.#sendRequest();
      this.#scheduleArrival();
    });
  }

  #sendRequest(): void {
    const { nowMs } = this.eventQueue;
    const isFromFlooder = this.#random.next() < this.options.floodShare;
    const member = isFromFlooder
      ? "flood"
      : `m${Math.floor(this.#random.next() * 4)}`;
    const { results } = this;
    results.offered += 1;
    results.offeredByMember.set(
      member,
      (results.offeredByMember.get(member) ?? 0) + 1,
    );
    const request: ServiceCall = {
      id: `r${this.#nextId++}`,
      service: "menu",
      member: member as MemberId,
      kind: "check",
      deadlineAtMs: nowMs + this.options.timeoutMs,
      body: new Uint8Array(),
    };
    const index = Math.floor(this.#random.next() * this.#entries.length);
    const entry = this.#entries[index] as SimEntry;
    const { router, budget, dataCentre } = entry;
    const onRetry = (): void => {
      results.retries += 1;
    };
    const clock = (): number => this.eventQueue.nowMs;
    const plan = planAttempts(request, router, budget, clock, onRetry);
    this.#continuePlan(plan, plan.next(), dataCentre, request, nowMs);
  }

  #continuePlan(
    plan: ReturnType<typeof planAttempts>,
    step: IteratorResult<CallAttempt, CallOutcome>,
    dataCentre: string,
    request: ServiceCall,
    sentAtMs: number,
  ): void {
    if (!step.done) {
      this.#attempt(step.value, dataCentre, request, (outcome) => {
        const next = plan.next(outcome);
        this.#continuePlan(plan, next, dataCentre, request, sentAtMs);
      });
      return;
    }
    const tookMs = this.eventQueue.nowMs - sentAtMs;
    const outcome = step.value;
    if (outcome.ok) this.results.recordAnswer(request.member, tookMs);
    else {
      const { kind, descriptor: answer } = outcome.error;
      this.results.recordFailure(kind, answer.ran === "no", tookMs);
    }
  }

  /** Sends one attempt to a runner; without an answer it times out. */
  #attempt(
    { peer, timeoutMs }: CallAttempt,
    dataCentre: string,
    request: ServiceCall,
    done: (outcome: CallOutcome) => void,
  ): void {
    const sentAtMs = this.eventQueue.nowMs;
    let isDone = false;
    const finish = (outcome: CallOutcome): void => {
      if (isDone) return;
      isDone = true;
      done({ ...outcome, tookMs: this.eventQueue.nowMs - sentAtMs });
    };
    const isLocal = peer.dataCentre === dataCentre;
    const runner = this.runners.find(({ id }) => id === peer.id);
    this.eventQueue.after(timeoutMs, () => finish(failedOutcome("timeout")));
    const delayMs = isLocal ? localDelayMs : remoteDelayMs;
    this.eventQueue.after(delayMs, () => {
      if (!runner?.isAlive) {
        finish(failedOutcome("runner_unreachable"));
        return;
      }
      runner.handleCall(request, (outcome) => {
        this.eventQueue.after(delayMs, () => finish(outcome));
      });
    });
  }

  #addRunner(n: number): void {
    const { slots, meanMs, slowRunners } = this.options;
    const slowdown = n < slowRunners ? slowFactor : 1;
    const workMs = (): number =>
      -Math.log(1 - this.#random.next()) * meanMs * slowdown;
    const runner = new SimRunner(
      `s${n}`,
      slots,
      maxQueued,
      this.eventQueue,
      workMs,
    );
    this.runners.push(runner);
  }

  #addEntry(n: number): void {
    const members = new PeerTable(`e${n}` as PeerId);
    const dataCentre = `dc${n % dataCentreCount}`;
    const router = new Router(members, this.#createPicker(dataCentre));
    this.#entries.push({
      dataCentre,
      router,
      budget: new RetryBudget(retryRatio),
    });
  }

  #createPicker(dataCentre: string): Picker {
    switch (this.options.picker) {
      case "two-choices":
        return new TwoChoices(dataCentre, this.#random);
      case "round-robin":
        return new RoundRobin();
      case "least-connections":
        return new LeastConnections();
    }
  }

  #announce(): void {
    const { nowMs } = this.eventQueue;
    for (const { router } of this.#entries) {
      for (const [n, runner] of this.runners.entries()) {
        if (runner.isAlive) router.members.put(infoOf(runner, n), 0, nowMs);
      }
      router.members.expire(nowMs);
    }
    this.eventQueue.after(announceIntervalMs, () => this.#announce());
  }
}

function infoOf(runner: SimRunner, n: number): PeerInfo {
  const { admission, slots } = runner;
  return {
    id: runner.id as PeerId,
    incarnation: runner.id,
    startedAtMs: 0,
    role: "sidecar",
    dataCentre: `dc${n % dataCentreCount}`,
    rack: "r",
    endpoint: { host: "127.0.0.1", port: 1 },
    state: "ready",
    configRevision: 0,
    runner: {
      service: "menu",
      inFlight: admission.inFlight,
      queued: admission.queued,
      limit: admission.limit.value,
      slots,
      latencyMs: admission.limit.latencyMs,
    },
  };
}

function failedOutcome(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}
