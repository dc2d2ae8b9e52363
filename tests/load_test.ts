import { expect } from "chai";
import type { LoadOptions } from "../stand_ins/load/load_options.ts";
import type { LoadResult } from "../stand_ins/load/load_result.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";

const workers = 11;
const seeds = [1, 2, 3, 4, 5, 6];

/** What callers got over all seeds, as means. */
interface Means {
  readonly plansWorth: number;
  readonly servicesWorth: number;
  readonly overTargetS: number;
}

function play(change: Partial<LoadOptions>): Means {
  const results = seeds.map((seed) =>
    new LoadModel(siteLoad(seed, workers, change)).run()
  );
  const mean = (read: (result: LoadResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return {
    plansWorth: mean(({ plans }) => plans.worth),
    servicesWorth: mean(({ services }) => services.worth),
    overTargetS: mean(({ services }) => services.overTargetS),
  };
}

describe("plans beside services, when keepers change", function () {
  const keeperChangesAtMs = [10_000, 24_000];
  const steady = play({});
  const changing = play({ keeperChangesAtMs });
  const forgetting = play({ keeperChangesAtMs, keepsLearned: false });

  it("leave services five sixths of their worth", () => {
    expect(steady.servicesWorth).to.be.above(5 / 6);
    expect(steady.plansWorth).to.be.above(0.7);
  });

  it("disturb services little more than without a change", () => {
    expect(changing.overTargetS).to.be.below(1.4 * steady.overTargetS);
    expect(changing.servicesWorth).to.be.above(steady.servicesWorth - 0.06);
  });

  it("disturb services little more after a loss of all power", () => {
    const dark = play({ powerLossesAtMs: [34_000] });
    expect(dark.overTargetS).to.be.below(1.15 * steady.overTargetS);
  });

  it("would disturb them far more if each keeper began anew", () => {
    expect(forgetting.overTargetS).to.be.above(1.4 * changing.overTargetS);
    expect(forgetting.plansWorth).to.be.below(changing.plansWorth - 0.05);
  });
});
