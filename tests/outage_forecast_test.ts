import { expect } from "chai";
import { OutageForecast } from "../src/core/outage/outage_forecast.ts";
import { retryAfterS } from "../src/core/outage/retry_after_s.ts";
import { returnTimeMs } from "../src/core/outage/return_time_ms.ts";

describe("an outage forecast", () => {
  // Guards against a return time that ignores how long the store has been away.
  const cases: {
    name: string;
    seenMs: number[];
    ageMs: number;
    remainingMs: number;
  }[] = [
    { name: "of the prior", seenMs: [], ageMs: 0, remainingMs: 3_000 },
    { name: "halfway", seenMs: [], ageMs: 1_500, remainingMs: 1_500 },
    { name: "near the end", seenMs: [], ageMs: 2_300, remainingMs: 700 },
    { name: "past the usual", seenMs: [], ageMs: 3_100, remainingMs: 500 },
    { name: "as the longest", seenMs: [], ageMs: 4_000, remainingMs: 1_100 },
    { name: "much older", seenMs: [], ageMs: 9_000, remainingMs: 9_000 },
    { name: "after a short one", seenMs: [500], ageMs: 0, remainingMs: 525 },
    {
      name: "older than the short ones seen",
      seenMs: [500, 500, 500],
      ageMs: 1_000,
      remainingMs: 2_000,
    },
    {
      name: "after a long one",
      seenMs: [10_000],
      ageMs: 4_000,
      remainingMs: 6_000,
    },
    {
      name: "after one long among usual ones",
      seenMs: [3_000, 3_000, 30_000],
      ageMs: 0,
      remainingMs: 3_150,
    },
    {
      name: "after lengths that have changed",
      seenMs: [1_000, 1_000, 1_000, 5_000, 5_000, 5_000],
      ageMs: 0,
      remainingMs: 4_750,
    },
  ];
  for (const { name, seenMs, ageMs, remainingMs } of cases) {
    it(`predicts the end ${name}`, () => {
      const forecast = new OutageForecast();
      for (const lengthMs of seenMs) forecast.record(lengthMs);
      expect(forecast.remainingMs(ageMs)).to.be.closeTo(remainingMs, 1);
    });
  }

  it("is never negative and never unbounded", () => {
    for (const seenMs of [[], [1], [300, 8_000], Array(50).fill(3_000)]) {
      const forecast = new OutageForecast();
      for (const lengthMs of seenMs) forecast.record(lengthMs);
      for (let ageMs = 0; ageMs < 60_000; ageMs += 37) {
        const remainingMs = forecast.remainingMs(ageMs);
        expect(remainingMs).to.be.within(0, Math.max(ageMs, 13_600));
      }
    }
  });
});

describe("the return time of a refused submission", () => {
  const ids = Array.from({ length: 200 }, (_, index) => `job-${index}`);

  it("is spread by id after the expected end", () => {
    const returnsMs = ids.map((id) => returnTimeMs(id, 4_000, 60_000));
    expect(Math.min(...returnsMs)).to.be.within(4_000, 4_020);
    expect(Math.max(...returnsMs)).to.be.within(4_180, 4_200);
    expect(new Set(returnsMs).size).to.be.greaterThan(100);
  });

  // Guards against a return time at which the caller has already given up.
  const cases = [
    { remainingMs: 100, leftMs: 3_000, leastS: 1, mostS: 1 },
    { remainingMs: 1_500, leftMs: 60_000, leastS: 2, mostS: 2 },
    { remainingMs: 3_000, leftMs: 60_000, leastS: 4, mostS: 4 },
    { remainingMs: 3_000, leftMs: 2_867, leastS: 2, mostS: 2 },
    { remainingMs: 9_000, leftMs: 5_500, leastS: 5, mostS: 5 },
    { remainingMs: 3_000, leftMs: 800, leastS: 4, mostS: 4 },
  ];
  for (const { remainingMs, leftMs, leastS, mostS } of cases) {
    it(`is ${leastS} s of ${remainingMs} ms within ${leftMs} ms`, () => {
      for (const id of ids) {
        const returnMs = returnTimeMs(id, remainingMs, leftMs);
        expect(returnMs).to.be.at.least(1_000);
        expect(retryAfterS(returnMs, leftMs)).to.be.within(leastS, mostS);
      }
    });
  }
});
