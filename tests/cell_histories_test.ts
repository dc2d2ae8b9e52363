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
  [12132, "crashes were not counted whose sidecar had restarted since"],
];

/** Shortened histories that once broke a rule. */
const knownHistories: readonly (readonly [
  reason: string,
  seed: number,
  steps: readonly (readonly [number, HistoryStep["kind"], number, number])[],
])[] = [
  [
    "a deposed keeper that had nothing to store let a runner forget an end",
    1447,
    [
      [865, "evacuate", 87, 594],
      [135, "reset_link", 622, 841],
      [24, "reset_link", 89, 396],
      [5_001, "lose_commands", 926, 181],
      [152, "silence_runner", 475, 591],
      [1_929, "submit", 334, 122],
      [327, "elect", 116, 756],
      [944, "pause_keeper", 101, 385],
      [89, "restart_sidecar", 389, 215],
      [1_315, "elect", 713, 681],
    ],
  ],
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
  for (const [reason, seed, rows] of knownHistories) {
    const steps = rows.map(([afterMs, kind, a, b]) => ({
      afterMs,
      kind,
      a,
      b,
    }));
    it(`known: ${reason}`, () => expectNoViolation(seed, steps));
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
