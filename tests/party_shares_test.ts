import { expect } from "chai";
import { ContentionOrder } from "../src/core/queueing/contention_order.ts";
import { fairLevels } from "../src/core/queueing/fair_levels.ts";
import type { LoadResult } from "../stand_ins/load/load_result.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import { CellFixture } from "./cell_fixture.ts";

describe("max-min fairness", () => {
  const cases: readonly (readonly [
    name: string,
    claimants: readonly (readonly [demand: number, weight: number])[],
    levels: readonly number[],
  ])[] = [
    ["gives all what they ask for", [[0.2, 1], [0.3, 1]], [0.2, 0.3]],
    ["divides a contended total evenly", [[2, 1], [3, 1]], [0.5, 0.5]],
    ["divides by weight", [[2, 1], [3, 3]], [0.25, 0.75]],
    ["passes on what one leaves", [[0.1, 1], [3, 1], [2, 2]], [0.1, 0.3, 0.6]],
  ];
  for (const [name, claimants, levels] of cases) {
    it(name, () => {
      const list = claimants.map(([demand, weight]) => ({ demand, weight }));
      fairLevels(list, 1).forEach((level, index) =>
        expect(level).to.be.closeTo(levels[index]!, 1e-9)
      );
    });
  }
});

describe("jobs of parties that contend for a worker of 4 cores", () => {
  const long = { expectedMs: 20_000 };

  /** Party `a` holds all cores; its next job is more urgent than `b`'s. */
  function contend(originB: string | undefined): CellFixture {
    const fixture = new CellFixture();
    fixture.cell.order = new ContentionOrder();
    fixture.reportWorker("w");
    fixture.submit("a1", [CellFixture.step({ ...long, count: 4 })], {
      origin: "a",
    });
    fixture.advance(50);
    fixture.newStarts();
    fixture.advance(1_000);
    fixture.submit("a2", [CellFixture.step(long)], { origin: "a" });
    fixture.submit("b1", [CellFixture.step({ ...long, count: 2 })], {
      origin: originB,
    });
    fixture.advance(500);
    return fixture;
  }

  function nextStart(fixture: CellFixture): string {
    fixture.endRun("w", "a1.0.0.0", 1, "done");
    fixture.advance(250);
    return fixture.newStarts()[0]!.slice(0, 2);
  }

  it("go first if their party is under its share", () => {
    expect(nextStart(contend("b"))).to.equal("b1");
    expect(nextStart(contend(undefined))).to.equal("b1");
  });

  it("go in the order of urgency if they are of one party", () => {
    expect(nextStart(contend("a"))).to.equal("a2");
  });

  it("wait no longer than twice the mean", () => {
    const fixture = contend("b");
    fixture.advance(5_000);
    for (const id of ["b2", "b3"]) {
      fixture.submit(id, [CellFixture.step(long)], { origin: "b" });
    }
    for (const id of ["a3", "a4", "a5"]) {
      fixture.submit(id, [CellFixture.step(long)], { origin: "a" });
    }
    expect(nextStart(fixture)).to.equal("a2");
  });

  it("use what no other party asks for", () => {
    const fixture = contend("b");
    fixture.endRun("w", "a1.0.0.0", 1, "done");
    fixture.endRun("w", "a1.0.0.1", 1, "done");
    fixture.endRun("w", "a1.0.0.2", 1, "done");
    fixture.advance(250);
    expect(fixture.newStarts()).to.have.length(3);
  });
});

describe("a party with a tenth of the plans of a burst", function () {
  const parties = [{ origin: "a", share: 0.9 }, { origin: "b", share: 0.1 }];
  const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

  function play(sharesFairly: boolean): readonly LoadResult[] {
    return seeds.map((seed) => {
      const load = siteLoad(seed, 11, { parties, sharesFairly });
      const bursts = [{ fromMs: 16_000, forMs: 6_000, factor: 4 }];
      return new LoadModel({ ...load, plans: { ...load.plans, bursts } }).run();
    });
  }
  const sum = (
    results: readonly LoadResult[],
    read: (result: LoadResult) => number,
  ) => results.reduce((total, result) => total + read(result), 0);

  it("gets more of them in time, at no cost in sum", () => {
    const [off, on] = [play(false), play(true)];
    const inTime = (results: readonly LoadResult[]) =>
      sum(results, ({ plansByParty }) => plansByParty["b"]!.inAim);
    expect(inTime(on)).to.be.above(inTime(off));
    const worth = (results: readonly LoadResult[]) =>
      sum(
        results,
        ({ plans, checks, services }) =>
          plans.worth + checks.worth + services.worth,
      );
    expect(worth(on)).to.be.at.least(worth(off));
  });
});
