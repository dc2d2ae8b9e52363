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
  [
    "a lease was counted from before the runner's next life took the start",
    981,
    [
      [286, "submit_lasting", 329, 615],
      [57, "return_runner", 353, 112],
      [268, "cut_off_runner", 353, 605],
      [6719, "submit_service", 966, 441],
    ],
  ],
  [
    "two lives began within a second, and the second one took the starts",
    386,
    [
      [2831, "reset_link", 119, 426],
      [454, "drain", 40, 411],
      [34, "kill_keeper", 103, 698],
      [254, "submit_lasting", 692, 345],
      [131, "return_runner", 520, 175],
      [636, "return_runner", 520, 282],
      [30, "cut_off_runner", 520, 937],
      [6317, "submit", 141, 347],
    ],
  ],
  [
    "an unanswered start ran on in the life that came after the known one",
    20196,
    [
      [2185, "return_runner", 284, 509],
      [45, "cut_off_runner", 284, 613],
      [170, "submit_lasting", 761, 300],
      [444, "return_runner", 75, 223],
      [7316, "pause_keeper", 284, 736],
    ],
  ],
  [
    "a sidecar was replaced while the next life ran the former one's tasks",
    21043,
    [
      [286, "submit_lasting", 414, 90],
      [58, "return_runner", 505, 586],
      [1128, "restart_sidecar", 505, 840],
      [927, "cut_off_runner", 505, 998],
      [13242, "cancel", 61, 39],
    ],
  ],
  [
    "the link was cut, then the runner, before the next life could be polled",
    1333,
    [
      [275, "submit_lasting", 148, 806],
      [3, "return_runner", 815, 155],
      [572, "cut_link", 815, 126],
      [963, "cut_off_runner", 815, 967],
      [7232, "submit", 295, 546],
    ],
  ],
  [
    "a run moved to the next life by a report that was not renewed",
    814,
    [
      [28372, "return_runner", 818, 985],
      [431, "submit_lasting", 818, 111],
      [1830, "cut_link", 818, 713],
      [5549, "restart_sidecar", 944, 508],
    ],
  ],
  [
    "runs moved to a life that was cut off, by a report that was not renewed",
    898,
    [
      [3193, "submit", 869, 707],
      [1658, "submit_wide", 717, 211],
      [485, "silence_runner", 9, 45],
      [1194, "submit_wide", 886, 621],
      [1022, "submit_chain", 616, 859],
      [1335, "elect", 120, 971],
      [1042, "elect", 435, 811],
      [1514, "kill_keeper", 829, 338],
      [1100, "submit_wide", 260, 278],
      [777, "submit_wide", 61, 113],
      [2, "silence_runner", 828, 25],
      [0, "restart_runner", 735, 827],
      [1001, "submit", 373, 143],
      [114, "submit_lasting", 566, 222],
      [437, "return_runner", 177, 923],
      [1830, "cut_off_runner", 177, 841],
      [9571, "pause_keeper", 359, 156],
    ],
  ],
  [
    "a service waited for the lease of a runner that had left, with a new keeper",
    36265,
    [
      [0, "submit_service", 210, 854],
      [13063, "leave_runner", 730, 429],
      [3290, "restart_runner", 45, 787],
      [1345, "cut_link", 957, 469],
      [0, "evacuate", 869, 448],
      [299, "leave_runner", 216, 544],
      [3541, "elect", 924, 504],
      [40060, "leave_runner", 400, 766],
    ],
  ],
  [
    "the same, beside a sidecar that had run for less than 15 s",
    5212,
    [
      [0, "submit_service", 307, 682],
      [1901, "restart_runner", 909, 999],
      [1991, "elect", 453, 189],
      [725, "drain", 373, 221],
      [68, "leave_runner", 44, 401],
      [21, "pause_sidecar", 878, 932],
      [1157, "elect", 493, 603],
      [25107, "kill_keeper_at", 864, 88],
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
