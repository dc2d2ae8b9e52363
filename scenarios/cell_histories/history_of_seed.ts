import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { HistoryStep } from "./history_step.ts";
import { randomHistory } from "./random_history.ts";

const evacuationSeedOffset = 1_000_003;

/** Returns the steps of a seed; those of every other seed evacuate. */
export function historyOfSeed(seed: number): HistoryStep[] {
  const evacuations = seed % 2 === 0
    ? undefined
    : new SeededRandom(seed + evacuationSeedOffset);
  return randomHistory(new SeededRandom(seed), evacuations);
}
