import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { HistoryStep } from "./history_step.ts";
import { insertReturns } from "./insert_returns.ts";
import { randomHistory } from "./random_history.ts";

const evacuationSeedOffset = 1_000_003;
const crashSeedOffset = 2_000_003;
const serviceSeedOffset = 3_000_003;
const returnSeedOffset = 4_000_003;
const seedsOf = 3;

/**
 * Returns the steps of a seed: those of every other seed evacuate, those of
 * every third one crash runners and change their capacity, those of every third
 * one have runners that return in place and are cut off, and two of four have
 * services and runners that leave.
 */
export function historyOfSeed(seed: number): HistoryStep[] {
  const evacuations = seed % 2 === 0
    ? undefined
    : new SeededRandom(seed + evacuationSeedOffset);
  const crashes = seed % seedsOf === 0
    ? new SeededRandom(seed + crashSeedOffset)
    : undefined;
  const services = seed % 4 < 2
    ? new SeededRandom(seed + serviceSeedOffset)
    : undefined;
  const random = new SeededRandom(seed);
  const steps = randomHistory(random, evacuations, crashes, services);
  if (seed % seedsOf === 1) {
    insertReturns(steps, new SeededRandom(seed + returnSeedOffset));
  }
  return steps;
}
