import { LoadModel } from "../stand_ins/load/load_model.ts";
import type { LoadOptions } from "../stand_ins/load/load_options.ts";
import type { LoadResult } from "../stand_ins/load/load_result.ts";
import { shiftedLoad } from "../stand_ins/load/shifted_load.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";

/**
 * Plays loads of the users' shape on virtual time and prints what callers got,
 * as means over the seeds.
 *
 *   node build/bench/load_bench.mjs [WORKERS] [SEEDS] [site | shifted]
 */
const workers = Number(process.argv[2] ?? 11);
const seeds = Number(process.argv[3] ?? 8);
const newLoad = process.argv[4] === "shifted" ? shiftedLoad : siteLoad;

const cases: readonly [name: string, change: Partial<LoadOptions>][] = [
  ["quiet", {}],
  ["all known", { knowsPressures: true }],
  ["keeper changes", { keeperChangesAtMs: [10_000, 24_000] }],
  ["nothing kept", {
    keeperChangesAtMs: [10_000, 24_000],
    keepsLearned: false,
  }],
  ["power loss", { powerLossesAtMs: [34_000] }],
];

const columns: Readonly<Record<string, (result: LoadResult) => number>> = {
  "plans": ({ plans }) => plans.worth,
  "in aim": ({ plans }) => plans.inAim,
  "late": ({ plans }) => plans.late,
  "failed": ({ plans }) => plans.failed,
  "median s": ({ plans }) => plans.medianMs / 1_000,
  "checks": ({ checks }) => checks.worth,
  "services": ({ services }) => services.worth,
  "over s": ({ services }) => services.overTargetS,
  "worst 5 s": ({ services }) => services.worstOverTargetS,
  "away s": ({ services }) => services.awayS,
  "wasted": ({ wastedCoreS }) => wastedCoreS,
  "stops": ({ stops }) => stops,
};

const width = 10;
const nameWidth = 16;
console.log(`${workers} workers, means of ${seeds} seeds`);
console.log(
  "".padEnd(nameWidth) +
    Object.keys(columns).map((name) => name.padStart(width)).join(""),
);
for (const [name, change] of cases) {
  const results: LoadResult[] = [];
  for (let seed = 1; seed <= seeds; seed++) {
    results.push(new LoadModel(newLoad(seed, workers, change)).run());
  }
  const cells = Object.values(columns).map((read) => {
    const mean = results.reduce((sum, each) => sum + read(each), 0) / seeds;
    return mean.toFixed(mean < 10 ? 3 : 0).padStart(width);
  });
  console.log(name.padEnd(nameWidth) + cells.join(""));
}
