import type { RandomSource } from "../random/random_source.ts";
import type { Picker } from "./picker.ts";
import type { RunnerChoice } from "./runner_choice.ts";

/** One-way time to another data centre, counted twice for the round trip. */
const remoteMs = 2;
/** Without an answer for so long, announcements tell the load. */
const announcedMs = 1_000;
const othersFadeMs = 500;
const initialLatencyMs = 5;
/** Time over which an old latency fades, so that a slow runner is tried again. */
const fadeMs = 10_000;
/** Time over which a new runner's price falls to its own. */
const slowStartMs = 5_000;
const slowStartFactor = 4;

/** Takes the better of two sampled runners by the latency to expect. */
export class TwoChoices implements Picker {
  readonly name = "two-choices";

  constructor(readonly dataCentre: string, readonly random: RandomSource) {}

  pick(
    choices: readonly RunnerChoice[],
    nowMs: number,
  ): RunnerChoice | undefined {
    const count = choices.length;
    if (count <= 1) return choices[0];
    const first = Math.floor(this.random.next() * count);
    const step = 1 + Math.floor(this.random.next() * (count - 1));
    const a = choices[first] as RunnerChoice;
    const b = choices[(first + step) % count] as RunnerChoice;
    return this.#expectedMs(a, nowMs) <= this.#expectedMs(b, nowMs) ? a : b;
  }

  #expectedMs({ peer, stats }: RunnerChoice, nowMs: number): number {
    const slots = Math.max(1, peer.runner?.limit ?? 1);
    const load = loadOf({ peer, stats }, nowMs);
    const ageMs = Math.max(0, nowMs - stats.answeredAtMs);
    const weight = Math.exp(-ageMs / fadeMs);
    const latencyMs = stats.latencyMs * weight +
      initialLatencyMs * (1 - weight);
    const queueing = 1 + Math.max(0, load + 1 - slots) / slots;
    const spread = 1 + load / slots;
    const tripMs = peer.dataCentre === this.dataCentre ? 0 : remoteMs;
    const newness = Math.max(
      0,
      1 - (nowMs - stats.firstSeenAtMs) / slowStartMs,
    );
    const start = 1 + newness * (slowStartFactor - 1);
    return latencyMs * queueing * spread * start + tripMs;
  }
}

/** Own requests count as they are; others' fade with the age of the news. */
function loadOf({ peer, stats }: RunnerChoice, nowMs: number): number {
  const ageMs = nowMs - stats.toldAtMs;
  if (ageMs > announcedMs) {
    const { inFlight = 0, queued = 0 } = peer.runner ?? {};
    return Math.max(stats.inFlight, inFlight + queued);
  }
  return stats.inFlight + stats.othersLoad * Math.exp(-ageMs / othersFadeMs);
}
