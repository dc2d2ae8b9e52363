import type { PeerId } from "../../schema/peer_id.ts";
import type { Members } from "../members/members.ts";
import type { Picker } from "./picker.ts";
import type { RunnerChoice } from "./runner_choice.ts";
import type { RunnerStats } from "./runner_stats.ts";

const smoothing = 0.2;
const failuresBefore = 5;
const ejectionMs = 3_000;
const largestEjectedShare = 0.5;
const initialLatencyMs = 5;

/** Keeps what is known of the runners and chooses where a request goes. */
export class Router {
  readonly #stats = new Map<PeerId, RunnerStats>();

  constructor(readonly members: Members, readonly picker: Picker) {}

  /** Chooses a runner of the service that was not tried yet. */
  choose(
    service: string,
    tried: ReadonlySet<PeerId>,
    nowMs: number,
  ): RunnerChoice | undefined {
    const ready = [...this.#ready(service, nowMs)];
    const fresh = ready.filter(({ peer }) => !tried.has(peer.id));
    const sound = fresh.filter(({ stats }) => nowMs >= stats.ejectedUntilMs);
    const ejected = fresh.length - sound.length;
    const tooMany = ejected > ready.length * largestEjectedShare;
    const choices = sound.length === 0 || tooMany ? fresh : sound;
    return this.picker.pick(choices, nowMs);
  }

  /** A request went to the runner. */
  sent(id: PeerId, nowMs: number): void {
    this.#of(id, nowMs).inFlight += 1;
  }

  /** An answer told the runner's load, own requests included. */
  told(id: PeerId, load: number, nowMs: number): void {
    const stats = this.#of(id, nowMs);
    stats.othersLoad = Math.max(0, load - stats.inFlight);
    stats.toldAtMs = nowMs;
  }

  /** The runner answered. */
  answered(id: PeerId, tookMs: number, nowMs: number): void {
    const stats = this.#of(id, nowMs);
    stats.inFlight -= 1;
    stats.failures = 0;
    stats.latencyMs += (tookMs - stats.latencyMs) * smoothing;
    stats.answeredAtMs = nowMs;
  }

  /** The runner turned the request down, which says nothing of its health. */
  refused(id: PeerId, nowMs: number): void {
    this.#of(id, nowMs).inFlight -= 1;
  }

  /** The runner failed or did not answer; true when it is now set aside. */
  failed(id: PeerId, nowMs: number): boolean {
    const stats = this.#of(id, nowMs);
    stats.inFlight -= 1;
    stats.failures += 1;
    if (stats.failures < failuresBefore) return false;
    stats.ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }

  *#ready(service: string, nowMs: number): Generator<RunnerChoice> {
    for (const peer of this.members.withRole("sidecar")) {
      if (peer.state !== "ready" || peer.runner?.service !== service) continue;
      yield { peer, stats: this.#of(peer.id, nowMs) };
    }
  }

  #of(id: PeerId, nowMs: number): RunnerStats {
    const known = this.#stats.get(id);
    if (known !== undefined) return known;
    const stats: RunnerStats = {
      inFlight: 0,
      othersLoad: 0,
      toldAtMs: -Infinity,
      latencyMs: initialLatencyMs,
      answeredAtMs: nowMs,
      failures: 0,
      ejectedUntilMs: -Infinity,
      firstSeenAtMs: nowMs,
    };
    this.#stats.set(id, stats);
    return stats;
  }
}
