import { expect } from "chai";
import { PaceCalculator } from "../src/core/interfere/pace_calculator.ts";
import { PressureModel } from "../src/core/interfere/pressure_model.ts";

const samples = 30;

describe("what a pressure model has learned", () => {
  const use = new Map([["bad", 0.2], ["good", 0.2]]);

  it("is the same after it was stored and restored", () => {
    const learned = new PressureModel();
    for (let sample = 0; sample < samples; sample++) {
      learned.learn("s", "j", 3, use);
      learned.learn("s", "j", 0.5, new Map([["good", 0.2]]));
    }
    const restored = new PressureModel();
    restored.restore(JSON.parse(JSON.stringify(learned.encode())));
    expect(restored.expectedLoad("s", "j", use)).to.be.closeTo(
      learned.expectedLoad("s", "j", use),
      0.01,
    );
    expect(restored.targetLoadOf("s")).to.be.closeTo(
      learned.targetLoadOf("s"),
      0.01,
    );
    expect([...restored.fillerImages]).to.eql([...learned.fillerImages]);
  });

  it("keeps the load of a job through those of many other jobs", () => {
    const pressure = new PressureModel();
    for (let job = 0; job < 5_000; job++) {
      pressure.learn("s", `${job}`, 1, new Map());
      pressure.learn("s", "kept", 0.9, new Map());
    }
    expect(pressure.callerLoadOf("kept")).to.be.above(0.6);
  });

  it("no longer holds the load of a job that has ended", () => {
    const pressure = new PressureModel();
    pressure.learn("s", "j", 0.9, new Map());
    pressure.forgetJob("j");
    expect(pressure.encode().loads).to.eql([]);
  });
});

describe("the pressure of a filler image on a service image", () => {
  it("is learned for the image that causes it, not for one beside it", () => {
    const pressure = new PressureModel();
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 3, new Map([["bad", 0.2], ["good", 0.2]]));
      pressure.learn("s", "j", 0.5, new Map([["good", 0.2]]));
    }
    const limit = pressure.targetLoadOf("s");
    expect(pressure.expectedLoad("s", "j", new Map([["bad", 0.2]]))).to.be
      .above(
        limit,
      );
    expect(pressure.expectedLoad("s", "j", new Map([["good", 0.2]]))).to.be
      .below(
        limit,
      );
  });

  it("is separate for each service image", () => {
    const pressure = new PressureModel();
    const unknown = pressure.pressureOf("t", "f");
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    expect(pressure.pressureOf("s", "f")).to.be.above(unknown);
    expect(pressure.pressureOf("t", "f")).to.equal(unknown);
  });

  it("falls while the service is below its target beside the filler", () => {
    const pressure = new PressureModel();
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    const beside = new Map([["f", 0.2]]);
    const limit = pressure.targetLoadOf("s");
    expect(pressure.expectedLoad("s", "j", beside)).to.be.above(limit);
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 0.5, beside);
    }
    expect(pressure.expectedLoad("s", "j", beside)).to.be.below(limit);
  });

  it("changes little with samples of a filler that hardly runs", () => {
    const pressure = new PressureModel();
    pressure.learn("s", "j", 4, new Map([["f", 0.2]]));
    const before = pressure.pressureOf("s", "f");
    pressure.learn("s", "j", 0.4, new Map([["f", 0.005]]));
    expect(pressure.pressureOf("s", "f")).to.be.above(before * 0.8);
  });

  it("is separated from the load that a job's callers cause", () => {
    const pressure = new PressureModel();
    const beside = new Map([["f", 0.2]]);
    for (let sample = 0; sample < samples; sample++) {
      pressure.learn("s", "j", 0.8, beside);
      pressure.learn("s", "j", 0.8, new Map());
    }
    expect(pressure.pressureOf("s", "f")).to.be.below(0.5);
    expect(pressure.callerLoadOf("j")).to.be.above(0.6);
  });
});

describe("the pace of fillers", () => {
  const fillers = [
    { image: "bad", used: 0.2, asked: 0.2 },
    { image: "good", used: 0.2, asked: 0.2 },
  ];
  const pressures = new Map([["bad", 2], ["good", 0]]);
  const floor = 0.25;

  /** Observes one service's latency, in parts of its target, every 400 ms. */
  function paceAfter(
    parts: readonly number[],
    known: ReadonlyMap<string, number> = pressures,
  ): PaceCalculator {
    const pace = new PaceCalculator();
    parts.forEach((part, index) => {
      pace.update([{ part, floor, pressures: known }], fillers, index * 400);
    });
    return pace;
  }

  it("is 100 % while services are below their targets", () => {
    const pace = paceAfter([0.5, 0.6]);
    expect([pace.paceOf("bad"), pace.paceOf("good")]).to.eql([100, 100]);
  });

  it("falls for the image with pressure, as far as needed", () => {
    const pace = paceAfter([1.2]);
    expect(pace.paceOf("bad")).to.be.within(50, 95);
    expect(pace.paceOf("good")).to.equal(100);
  });

  it("falls further the more a service exceeds its target", () => {
    expect(paceAfter([5]).paceOf("bad")).to.be.below(
      paceAfter([1.2]).paceOf("bad"),
    );
  });

  it("halves for all images if no known pressure explains the latency", () => {
    const pace = paceAfter([1.2], new Map());
    expect([pace.paceOf("bad"), pace.paceOf("good")]).to.eql([50, 50]);
  });

  it("rises again in steps", () => {
    const lowest = paceAfter([5]).paceOf("bad");
    expect(paceAfter([5, 0.5]).paceOf("bad")).to.be.within(
      lowest + 1,
      lowest + 30,
    );
  });

  it("is 0 for all images before a service was over target for 4 s", () => {
    const overTargetMs = 4_000;
    const sampleCount = overTargetMs / 400 - 1;
    const pace = paceAfter(Array.from({ length: sampleCount }, () => 1.5));
    expect([pace.paceOf("bad"), pace.paceOf("good")]).to.eql([0, 0]);
  });

  it("gives the remaining load to the image with the least pressure", () => {
    const pressures = new Map([["light", 0.5], ["heavy", 4]]);
    const fillers = [
      { image: "heavy", used: 0.2, asked: 0.2 },
      { image: "light", used: 0.2, asked: 0.2 },
    ];
    const pace = new PaceCalculator();
    pace.update([{ part: 1.5, floor: 0.25, pressures }], fillers, 0);
    expect(pace.paceOf("light")).to.equal(100);
    expect(pace.paceOf("heavy")).to.be.below(95);
  });
});
