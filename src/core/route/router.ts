import type { PeerId } from "../../schema/peer_id.ts";
import type { PeerTable } from "../members/peer_table.ts";
import type { Picker } from "./picker.ts";
import type { RoutableRunner } from "./routable_runner.ts";
import type { RunnerStats } from "./runner_stats.ts";

/** Weight of a new sample in the smoothed latency of a runner. */
const latencyWeight = 0.2;
/** Consecutive failures after which a runner is ejected. */
const failuresBeforeEjection = 5;
/** Time for which an ejected runner gets no requests. */
const ejectionMs = 3_000;
/** With a larger share of the ready runners ejected, ejection is ignored. */
const maxEjectedShare = 0.5;
/** Latency of a runner until it has answered. */
const assumedLatencyMs = 5;

/** Keeps statistics of the runners and chooses one for each request. */
export class Router {
  readonly #stats = new Map<PeerId, RunnerStats>();

  constructor(readonly members: PeerTable, readonly picker: Picker) {}

  /** Chooses a runner of the service that has not been tried yet. */
  chooseRunner(
    service: string,
    tried: ReadonlySet<PeerId>,
    nowMs: number,
  ): RoutableRunner | undefined {
    const readyRunners = [...this.#readyRunners(service, nowMs)];
    const untried = readyRunners.filter(({ peer }) => !tried.has(peer.id));
    const healthy = untried.filter(({ stats }) =>
      nowMs >= stats.ejectedUntilMs
    );
    const ejectedCount = untried.length - healthy.length;
    const tooMany = ejectedCount > readyRunners.length * maxEjectedShare;
    const eligible = healthy.length === 0 || tooMany ? untried : healthy;
    return this.picker.pick(eligible, nowMs);
  }

  /** Records a request that is sent to the runner. */
  recordSent(id: PeerId, nowMs: number): void {
    this.#statsOf(id, nowMs).inFlight += 1;
  }

  /** Records a load that the runner reported, this entry's part included. */
  recordLoad(id: PeerId, load: number, nowMs: number): void {
    const stats = this.#statsOf(id, nowMs);
    stats.othersLoad = Math.max(0, load - stats.inFlight);
    stats.loadReportedAtMs = nowMs;
  }

  /** Records a successful answer. */
  recordAnswer(id: PeerId, tookMs: number, nowMs: number): void {
    const stats = this.#statsOf(id, nowMs);
    stats.inFlight -= 1;
    stats.failures = 0;
    stats.latencyMs += (tookMs - stats.latencyMs) * latencyWeight;
    stats.lastAnswerAtMs = nowMs;
  }

  /** Records a refusal, which says nothing about the runner's health. */
  recordRefusal(id: PeerId, nowMs: number): void {
    this.#statsOf(id, nowMs).inFlight -= 1;
  }

  /** Records a failure or a missing answer; true if it ejects the runner. */
  recordFailure(id: PeerId, nowMs: number): boolean {
    const stats = this.#statsOf(id, nowMs);
    stats.inFlight -= 1;
    stats.failures += 1;
    if (stats.failures < failuresBeforeEjection) return false;
    stats.ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }

  *#readyRunners(service: string, nowMs: number): Generator<RoutableRunner> {
    for (const peer of this.members.withRole("sidecar")) {
      if (peer.state !== "ready" || peer.runner?.service !== service) continue;
      yield { peer, stats: this.#statsOf(peer.id, nowMs) };
    }
  }

  #statsOf(id: PeerId, nowMs: number): RunnerStats {
    const known = this.#stats.get(id);
    if (known !== undefined) return known;
    const stats: RunnerStats = {
      inFlight: 0,
      othersLoad: 0,
      loadReportedAtMs: -Infinity,
      latencyMs: assumedLatencyMs,
      lastAnswerAtMs: nowMs,
      failures: 0,
      ejectedUntilMs: -Infinity,
      firstSeenAtMs: nowMs,
    };
    this.#stats.set(id, stats);
    return stats;
  }
}
