import { LoadModel } from "../stand_ins/load/load_model.ts";
import type { LoadOptions } from "../stand_ins/load/load_options.ts";
import type { LoadResult } from "../stand_ins/load/load_result.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";

/**
 * Plays bursts of plans with and without each decision on contended capacity,
 * on the same seeds, and prints what callers got as means over the seeds.
 *
 *   node build/bench/contention_bench.mjs [WORKERS] [SEEDS] [PARTIES]
 */
const workers = Number(process.argv[2] ?? 11);
const seeds = Number(process.argv[3] ?? 6);
const partyCount = Number(process.argv[4] ?? 2);
const heavyShare = 0.9;

const parties = Array.from({ length: partyCount }, (_, index) => ({
  origin: `z${index}`,
  share: index === 0 ? heavyShare : (1 - heavyShare) / (partyCount - 1),
}));
const modes: readonly [name: string, change: Partial<LoadOptions>][] = [
  ["off", {}],
  ["admits", { admits: true }],
  ["shares", { sharesFairly: true }],
];
const columns: Readonly<Record<string, (result: LoadResult) => number>> = {
  "plans": ({ plans }) => plans.worth,
  "all in t.": ({ plans }) => plans.inAim,
  "late": ({ plans }) => plans.late,
  "failed": ({ plans }) => plans.failed,
  "refused": ({ plans }) => plans.refused,
  "checks": ({ checks }) => checks.worth,
  "ch. ref.": ({ checks }) => checks.refused,
  "services": ({ services }) => services.worth,
  "heavy sum": ({ plansByParty }) => plansByParty["z0"]!.submitted,
  "in time": ({ plansByParty }) => plansByParty["z0"]!.inAim,
  "light sum": (result) => lightSum(result, ({ submitted }) => submitted),
  "in time ": (result) => lightSum(result, ({ inAim }) => inAim),
  "free ref.": ({ refusedWithFree }) => refusedWithFree,
};

type KindResult = LoadResult["plans"];

/** A sum over all parties but the first. */
function lightSum(
  { plansByParty }: LoadResult,
  read: (result: KindResult) => number,
): number {
  return Object.entries(plansByParty)
    .reduce((sum, [name, each]) => name === "z0" ? sum : sum + read(each), 0);
}

const width = 10;
const nameWidth = 16;
console.log(`${workers} workers, ${partyCount} parties, ${seeds} seeds`);
console.log(
  "".padEnd(nameWidth) +
    Object.keys(columns).map((name) => name.padStart(width)).join(""),
);
/** The mean of paired differences, with its standard error. */
function describe(values: readonly number[]): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const error = Math.sqrt(squares / (values.length - 1) / values.length);
  return `${mean.toFixed(4)}, standard error ${error.toFixed(4)}`;
}

let base: readonly number[] = [];
for (const factor of [1.5, 2.5, 4]) {
  for (const [name, change] of modes) {
    const results: LoadResult[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
      const load = siteLoad(seed, workers, { parties, ...change });
      const bursts = [{ fromMs: 16_000, forMs: 6_000, factor }];
      const plans = {
        ...load.plans,
        bursts,
        heavyShare: Number(process.argv[5] ?? 0.65),
      };
      results.push(new LoadModel({ ...load, plans }).run());
    }
    const cells = Object.values(columns).map((read) => {
      const mean = results.reduce((sum, each) => sum + read(each), 0) / seeds;
      return mean.toFixed(3).padStart(width);
    });
    console.log(`x${factor} ${name}`.padEnd(nameWidth) + cells.join(""));
    const gains = results.map(({ plans }, index) =>
      plans.worth - (base[index] ?? plans.worth)
    );
    if (name === "off") base = results.map(({ plans }) => plans.worth);
    else console.log(`  plans gain ${describe(gains)}`);
  }
}
