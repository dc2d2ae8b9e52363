import type { CellOptions } from "../src/core/cell/cell_options.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import type { LoadOptions } from "../stand_ins/load/load_options.ts";
import type { LoadResult } from "../stand_ins/load/load_result.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import type { UnevenLoad } from "../stand_ins/load/uneven_load.ts";

/**
 * Plays uneven loads on virtual time, each seed without and with the flags, and
 * prints the means and the standard errors of the paired differences.
 *
 *   node build/bench/uneven_bench.mjs WORKERS SEEDS FLAG,... [CASE,...]
 */
const workers = Number(process.argv[2] ?? 11);
const seeds = Number(process.argv[3] ?? 8);
const flags = (process.argv[4] ?? "learnsRunTimes").split(",");
const chosen = process.argv[5]?.split(",");

const cell: Partial<CellOptions> = Object.fromEntries(
  flags.map((flag) => [flag, true]),
);

const cases: Readonly<Record<string, Partial<UnevenLoad>>> = {
  "even": {},
  "tail-task": { tailShare: 0.03, tailFactor: 7 },
  "tail-run": { tailShare: 0.03, tailFactor: 7, isTailOfRun: true },
  "spread": { declaredSpread: 3 },
  "bias": { declaredBias: 3 },
  "slow": {
    slowShare: 0.07,
    slowFactor: 8,
    slowForMs: 5_000,
    slowPeriodMs: 10_000,
  },
  "doomed": { doomedShare: 0.03 },
  "failing": { failingShare: 0.03, slowForMs: 5_000, slowPeriodMs: 10_000 },
  "all": {
    tailShare: 0.03,
    tailFactor: 7,
    declaredSpread: 2,
    declaredBias: 2,
    slowShare: 0.07,
    slowFactor: 8,
    slowForMs: 5_000,
    slowPeriodMs: 10_000,
    doomedShare: 0.03,
    failingShare: 0.02,
  },
};

const columns: Readonly<Record<string, (result: LoadResult) => number>> = {
  "plans": ({ plans }) => plans.worth,
  "plans s": ({ plans }) => Math.min(99_000, plans.medianMs) / 1_000,
  "checks": ({ checks }) => checks.worth,
  "services": ({ services }) => services.worth,
  "over s": ({ services }) => services.overTargetS,
  "worked": ({ workedCoreS }) => workedCoreS,
  "extra": ({ extraCoreS }) => extraCoreS,
  "stops": ({ stops }) => stops,
};

function play(change: Partial<LoadOptions>, seed: number): number[] {
  const result = new LoadModel(siteLoad(seed, workers, change)).run();
  return Object.values(columns).map((read) => read(result));
}

function formatted(value: number): string {
  return value.toFixed(Math.abs(value) < 10 ? 3 : 0);
}

/** The mean and its standard error. */
function summary(values: readonly number[]): [mean: number, error: number] {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const spread = Math.max(1, values.length * (values.length - 1));
  return [mean, Math.sqrt(squares / spread)];
}

const width = 16;
console.log(`${workers} workers, ${seeds} seeds, ${flags.join(" ")}`);
console.log(
  ["case", ...Object.keys(columns)].map((each) => each.padStart(width))
    .join(""),
);
for (const [name, uneven] of Object.entries(cases)) {
  if (chosen !== undefined && !chosen.includes(name)) continue;
  const off: number[][] = [];
  const on: number[][] = [];
  for (let seed = 1; seed <= seeds; seed++) {
    off.push(play({ uneven }, seed));
    on.push(play({ uneven, cell }, seed));
  }
  const rows: string[][] = [[name], ["difference"]];
  Object.keys(columns).forEach((_, column) => {
    const before = off.map((values) => values[column] ?? 0);
    const after = on.map((values) => values[column] ?? 0);
    const [change, error] = summary(
      after.map((value, index) => value - (before[index] ?? 0)),
    );
    rows[0]?.push(formatted(summary(before)[0]));
    rows[1]?.push(`${formatted(change)} ±${formatted(error)}`);
  });
  for (const row of rows) {
    console.log(row.map((each) => each.padStart(width)).join(""));
  }
}
