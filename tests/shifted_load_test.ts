import { expect } from "chai";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { shiftedLoad } from "../stand_ins/load/shifted_load.ts";

const workers = 77;
const seed = 1;
/** The share of their worth that callers are to get. */
const targetWorth = 0.75;

describe("wide plans beside wide services", () => {
  const cases = [
    { name: "with one keeper", keeperChangesAtMs: [] },
    { name: "with three keepers", keeperChangesAtMs: [8_000, 20_000] },
  ];
  for (const { name, keeperChangesAtMs } of cases) {
    it(`leave each kind of caller three quarters of its worth, ${name}`, () => {
      const options = shiftedLoad(seed, workers, { keeperChangesAtMs });
      const { plans, checks, services } = new LoadModel(options).run();
      for (const { worth } of [plans, checks, services]) {
        expect(worth).to.be.at.least(targetWorth);
      }
    });
  }
});
