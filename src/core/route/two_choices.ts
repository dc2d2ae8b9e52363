import type { RandomSource } from "../random/random_source.ts";
import type { Picker } from "./picker.ts";
import type { RoutableRunner } from "./routable_runner.ts";

/** Time that a trip to another data centre and back adds. */
const remoteRoundTripMs = 2;
/** A load that an answer reported longer ago gives way to announcements. */
const reportMaxAgeMs = 1_000;
/** Time constant with which a reported load of other entries decays. */
const othersLoadDecayMs = 500;
/** Latency of a runner without recent answers. */
const assumedLatencyMs = 5;
/** Decay time of a measured latency, so that slow runners are retried. */
const latencyDecayMs = 10_000;
/** Time over which a new runner's penalty falls to none. */
const slowStartMs = 5_000;
/** Factor on the expected latency of a runner that was just discovered. */
const slowStartFactor = 4;

/** Picks the one of two random runners with the lower expected latency. */
export class TwoChoices implements Picker {
  readonly name = "two-choices";

  constructor(readonly dataCentre: string, readonly random: RandomSource) {}

  pick(
    runners: readonly RoutableRunner[],
    nowMs: number,
  ): RoutableRunner | undefined {
    const count = runners.length;
    if (count <= 1) return runners[0];
    const first = Math.floor(this.random.next() * count);
    const step = 1 + Math.floor(this.random.next() * (count - 1));
    const a = runners[first] as RoutableRunner;
    const b = runners[(first + step) % count] as RoutableRunner;
    return this.#expectedLatencyMs(a, nowMs) <=
        this.#expectedLatencyMs(b, nowMs)
      ? a
      : b;
  }

  #expectedLatencyMs({ peer, stats }: RoutableRunner, nowMs: number): number {
    const limit = Math.max(1, peer.runner?.limit ?? 1);
    const load = estimateLoad({ peer, stats }, nowMs);
    const ageMs = Math.max(0, nowMs - stats.lastAnswerAtMs);
    const measuredWeight = Math.exp(-ageMs / latencyDecayMs);
    const latencyMs = stats.latencyMs * measuredWeight +
      assumedLatencyMs * (1 - measuredWeight);
    const queueingFactor = 1 + Math.max(0, load + 1 - limit) / limit;
    const loadFactor = 1 + load / limit;
    const roundTripMs = peer.dataCentre === this.dataCentre
      ? 0
      : remoteRoundTripMs;
    const newness = Math.max(
      0,
      1 - (nowMs - stats.firstSeenAtMs) / slowStartMs,
    );
    const slowStart = 1 + newness * (slowStartFactor - 1);
    return latencyMs * queueingFactor * loadFactor * slowStart + roundTripMs;
  }
}

/** Adds this entry's requests to those of others, which decay with age. */
function estimateLoad({ peer, stats }: RoutableRunner, nowMs: number): number {
  const ageMs = nowMs - stats.loadReportedAtMs;
  if (ageMs > reportMaxAgeMs) {
    const { inFlight = 0, queued = 0 } = peer.runner ?? {};
    return Math.max(stats.inFlight, inFlight + queued);
  }
  return stats.inFlight +
    stats.othersLoad * Math.exp(-ageMs / othersLoadDecayMs);
}
