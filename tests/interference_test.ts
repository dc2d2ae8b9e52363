import { expect } from "chai";
import { FillerPace } from "../src/core/interfere/filler_pace.ts";
import { PairPressure } from "../src/core/interfere/pair_pressure.ts";

const samples = 30;

describe("pressure of pairs", () => {
  it("is learned for the image that presses, not for the one beside it", () => {
    const pressure = new PairPressure();
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 3, new Map([["bad", 0.2], ["good", 0.2]]));
      pressure.learn("s", "j", 0.5, new Map([["good", 0.2]]));
    }
    const limit = pressure.limitOf("s");
    expect(pressure.expect("s", "j", new Map([["bad", 0.2]]))).to.be.above(
      limit,
    );
    expect(pressure.expect("s", "j", new Map([["good", 0.2]]))).to.be.below(
      limit,
    );
  });

  it("is by service image", () => {
    const pressure = new PairPressure();
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    expect(pressure.of("s", "f")).to.be.above(0);
    expect(pressure.of("t", "f")).to.equal(0);
  });

  it("fades where the service is at ease beside it", () => {
    const pressure = new PairPressure();
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    const beside = new Map([["f", 0.2]]);
    const limit = pressure.limitOf("s");
    expect(pressure.expect("s", "j", beside)).to.be.above(limit);
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 0.5, beside);
    }
    expect(pressure.expect("s", "j", beside)).to.be.below(limit);
  });

  it("is hardly told by a filler that hardly runs", () => {
    const pressure = new PairPressure();
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    const before = pressure.of("s", "f");
    pressure.learn("s", "j", 0.4, new Map([["f", 0.005]]));
    expect(pressure.of("s", "f")).to.be.above(before * 0.8);
  });

  it("is told apart from the load that a job's callers make", () => {
    const pressure = new PairPressure();
    const beside = new Map([["f", 0.2]]);
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 0.8, beside);
      pressure.learn("s", "j", 0.8, new Map());
    }
    expect(pressure.of("s", "f")).to.be.below(0.5);
    expect(pressure.loadOf("j")).to.be.above(0.6);
  });
});

describe("the pace of fillers", () => {
  const fillers = [
    { image: "bad", used: 0.2, asked: 0.2 },
    { image: "good", used: 0.2, asked: 0.2 },
  ];
  const pressures = new Map([["bad", 2], ["good", 0]]);
  const floor = 0.25;

  /** Feeds samples of one service's latency, 400 ms apart. */
  function paces(
    parts: readonly number[],
    known: ReadonlyMap<string, number> = pressures,
  ): FillerPace {
    const pace = new FillerPace();
    parts.forEach((part, index) => {
      pace.observe([{ part, floor, pressures: known }], fillers, index * 400);
    });
    return pace;
  }

  it("is full while services are at ease", () => {
    const pace = paces([0.5, 0.6]);
    expect([pace.of("bad"), pace.of("good")]).to.eql([100, 100]);
  });

  it("falls for the image that presses, as far as needed", () => {
    const pace = paces([1.2]);
    expect(pace.of("bad")).to.be.within(50, 95);
    expect(pace.of("good")).to.equal(100);
  });

  it("falls further the more a service is over its target", () => {
    expect(paces([5]).of("bad")).to.be.below(paces([1.2]).of("bad"));
  });

  it("halves for all images where nothing known accounts for it", () => {
    const pace = paces([1.2], new Map());
    expect([pace.of("bad"), pace.of("good")]).to.eql([50, 50]);
  });

  it("comes back by steps", () => {
    const fallen = paces([5]).of("bad");
    expect(paces([5, 0.5]).of("bad")).to.be.within(fallen + 1, fallen + 30);
  });

  it("is nothing for all before a service was over target for harmMs", () => {
    const harmMs = 4_000;
    const samplesOver = harmMs / 400 - 1;
    const pace = paces(Array.from({ length: samplesOver }, () => 1.5));
    expect([pace.of("bad"), pace.of("good")]).to.eql([0, 0]);
  });

  it("leaves the load that is left to what presses least", () => {
    const pressures = new Map([["light", 0.5], ["heavy", 4]]);
    const fillers = [
      { image: "heavy", used: 0.2, asked: 0.2 },
      { image: "light", used: 0.2, asked: 0.2 },
    ];
    const pace = new FillerPace();
    pace.observe([{ part: 1.5, floor: 0.25, pressures }], fillers, 0);
    expect(pace.of("light")).to.equal(100);
    expect(pace.of("heavy")).to.be.below(95);
  });
});
