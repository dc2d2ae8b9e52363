import { expect } from "chai";
import type { HistoryStep } from "../scenarios/cell_histories/history_step.ts";
import { randomHistory } from "../scenarios/cell_histories/random_history.ts";
import { runCellHistory } from "../scenarios/cell_histories/run_cell_history.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";

/** Seeds that once broke a rule, with what broke. */
const knownSeeds: readonly (readonly [seed: number, reason: string])[] = [
  [277, "a refused start was repeated and carried out"],
  [661, "a lease was reported as ended though the next life had a start"],
  [2062, "a start was retried after its claim had been released"],
  [2082, "the runner's clock was never read, so leases seemed to last longer"],
];
const seedsPerTest = 20;
const testCount = 8;

async function expectNoViolation(
  seed: number,
  steps?: readonly HistoryStep[],
): Promise<void> {
  const { violations } = await runCellHistory(seed, steps);
  expect(violations, `seed ${seed}`).to.eql([]);
}

describe("random histories of keepers, gates and runners break no rule", () => {
  for (const [seed, reason] of knownSeeds) {
    it(`with seed ${seed}: ${reason}`, () =>
      expectNoViolation(seed, randomHistory(new SeededRandom(seed))));
  }
  for (
    let first = 1;
    first <= seedsPerTest * testCount;
    first += seedsPerTest
  ) {
    it(`with ${seedsPerTest} seeds from ${first}`, async () => {
      for (let seed = first; seed < first + seedsPerTest; seed++) {
        await expectNoViolation(seed);
      }
    });
  }
});
