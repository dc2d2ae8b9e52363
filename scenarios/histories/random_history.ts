import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { HistoryStep } from "./history_step.ts";

/** Kinds to draw from; those that are listed twice or more come more often. */
const kinds: readonly HistoryStep["kind"][] = [
  "submit",
  "submit",
  "submit",
  "urgent",
  "cancel",
  "kill_peer",
  "restart_peer",
  "restart_peer",
  "pause_peer",
  "kill_worker",
  "restart_worker",
  "restart_worker",
  "pause_worker",
  "cut_log",
  "cut_worker",
  "cut_peers",
  "heal",
  "heal",
  "log_down",
  "log_up",
  "log_up",
  "lose_answers",
  "lossy",
  "fail_all",
];

const maxGapMs = 4_000;

/** Yields the steps of one history; short gaps are the most frequent. */
export function* randomHistory(
  random: RandomSource,
  stepCount: number,
): Generator<HistoryStep> {
  for (let n = 0; n < stepCount; n++) {
    const kind = kinds[Math.floor(random.next() * kinds.length)] ?? "submit";
    yield {
      afterMs: Math.floor(random.next() ** 2 * maxGapMs),
      kind,
      a: Math.floor(random.next() * 1_000),
      b: Math.floor(random.next() * 1_000),
    };
  }
}
