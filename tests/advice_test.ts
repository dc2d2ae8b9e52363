import { expect } from "chai";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { AdvisedFixture } from "./advised_fixture.ts";
import { idleReport } from "./idle_report.ts";

const { step } = AdvisedFixture;
const busyMilli = 2_000;

/** Reports empty workers `w0`, `w1`, ... */
function reportWorkers(fixture: AdvisedFixture, count: number): void {
  for (let index = 0; index < count; index++) fixture.reportWorker(`w${index}`);
}

/** Reports a worker of which a run that no job knows takes a part. */
function reportSmaller(fixture: AdvisedFixture, node: string): void {
  const { capacity } = idleReport(node);
  fixture.reportWorker(node, {
    capacity: { ...capacity, cpuMilli: capacity.cpuMilli - busyMilli },
  });
}

describe("a step that an advisor allows on few workers begins", () => {
  const cases: {
    name: string;
    workers: number;
    prepare?: (fixture: AdvisedFixture) => void;
    then?: (fixture: AdvisedFixture) => void;
    allowed: string[];
    withinMs: number;
  }[] = [
    {
      // Guards against asking for the same 30 emptiest workers for ever.
      name: "although more than a query's workers have more free CPU",
      workers: 31,
      prepare: (fixture) => reportSmaller(fixture, "allowed"),
      allowed: ["allowed"],
      withinMs: 1_000,
    },
    {
      // Guards against steps lost where a fleet takes many queries.
      name: "on the last of 250 workers",
      workers: 249,
      prepare: (fixture) => reportSmaller(fixture, "allowed"),
      allowed: ["allowed"],
      withinMs: 3_000,
    },
    {
      // Guards against waiting for tickets to expire before newcomers are named.
      name: "on a worker that joins after the answer",
      workers: 31,
      then: (fixture) => fixture.reportWorker("allowed"),
      allowed: ["allowed"],
      withinMs: 500,
    },
    {
      // Guards against a verdict on one life that stands for the next one.
      name: "on the next life of a worker that was not allowed",
      workers: 3,
      then: (fixture) => {
        fixture.allowed = new Set(["w1"]);
        fixture.reportWorker("w1", { life: "w1@2" as RunnerLife });
      },
      allowed: [],
      withinMs: 500,
    },
    {
      // Guards against a step that waits for a worker that has shrunk.
      name: "on another worker once the first has shrunk",
      workers: 40,
      prepare: (fixture) => fixture.reportWorker("shrunk"),
      then: (fixture) => {
        const { capacity } = idleReport("shrunk");
        fixture.reportWorker("shrunk", {
          capacity: { ...capacity, cpuMilli: 100 },
        });
        fixture.reportWorker("allowed");
      },
      allowed: ["shrunk", "allowed"],
      withinMs: 1_000,
    },
  ];
  for (const { name, workers, prepare, then, allowed, withinMs } of cases) {
    it(name, () => {
      const fixture = new AdvisedFixture();
      fixture.allowed = new Set(allowed);
      reportWorkers(fixture, workers);
      prepare?.(fixture);
      const hasFirst = then !== undefined;
      fixture.submit("j", [step({ count: hasFirst ? 5 : 1 })]);
      if (hasFirst) fixture.advanceBy(2_000);
      fixture.newStarts();
      then?.(fixture);
      fixture.advanceBy(withinMs);
      expect(fixture.newStarts()).to.not.eql([]);
    });
  }
});

describe("the advisor", () => {
  // Guards against queries for workers that were ruled out for good.
  it("is asked once about a worker that is not allowed", () => {
    const fixture = new AdvisedFixture();
    reportWorkers(fixture, 45);
    fixture.submit("j", [step()]);
    fixture.advanceBy(30_000);
    expect(fixture.named).to.have.length(45);
  });

  // Guards against queries that name workers without the required label.
  it("is not asked about workers that lack the step's label", () => {
    const fixture = new AdvisedFixture();
    fixture.allowed = new Set(["special"]);
    reportWorkers(fixture, 40);
    fixture.reportWorker("special", { labels: ["gpu", "r1"] });
    fixture.submit("j", [step({ label: "gpu" })]);
    fixture.advanceBy(200);
    expect(fixture.named).to.eql(["special"]);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@special"]);
  });

  // Guards against renewals that ask about the whole fleet again.
  it("renews only the tickets of allowed workers", () => {
    const fixture = new AdvisedFixture();
    fixture.allowed = new Set(["w3"]);
    reportWorkers(fixture, 40);
    fixture.submit("j", [step({ count: 9 })]);
    fixture.advanceBy(1_000);
    fixture.queries.length = 0;
    fixture.advanceBy(2_000);
    expect([...new Set(fixture.named)]).to.eql(["w3"]);
  });

  // Guards against a burst after which it works only for queries given up.
  it("never has more than two queries, and serves a burst of 60 jobs", () => {
    const fixture = new AdvisedFixture({
      decideMs: 60,
      perWorkerMs: 5,
      validMs: 3_000,
    });
    fixture.allowed = new Set(["w1", "w2", "w3", "w4", "w5"]);
    reportWorkers(fixture, 40);
    for (let index = 0; index < 60; index++) {
      fixture.submit(`j${index}`, [step({ resources: smallResources })]);
    }
    fixture.advanceBy(20_000);
    expect(fixture.mostWaiting).to.equal(2);
    expect(fixture.newStarts()).to.have.length(60);
  });

  // Guards against one step that takes all of its time from the others.
  it("is asked for each step in turn", () => {
    const fixture = new AdvisedFixture();
    fixture.allowed = new Set(["w199"]);
    reportWorkers(fixture, 200);
    for (const id of ["a", "b", "c"]) {
      fixture.submit(id, [step({ resources: smallResources })]);
    }
    fixture.advanceBy(2_000);
    const asked = fixture.queries.slice(0, 6).map((query) => query.step);
    const steps = ["a.0.0", "b.0.0", "c.0.0"];
    expect(asked).to.eql([...steps, ...steps]);
  });

  // Guards against a second query that finds no workers to name.
  it("is asked for two steps at once", () => {
    const fixture = new AdvisedFixture();
    reportWorkers(fixture, 3);
    for (const id of ["a", "b"]) fixture.submit(id, [step()]);
    fixture.advanceBy(50);
    expect(fixture.named).to.have.length(6);
  });

  // Guards against an advisor that never recovers from queries without answer.
  it("is asked again after it has not answered in time", () => {
    const fixture = new AdvisedFixture();
    fixture.allowed = new Set(["w1"]);
    fixture.isMute = true;
    reportWorkers(fixture, 3);
    fixture.submit("j", [step()]);
    fixture.advanceBy(10_000);
    fixture.isMute = false;
    fixture.advanceBy(4_000);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w1"]);
  });

  // Guards against a rejected ticket that ends the tickets of other workers.
  it("is asked only about the worker whose ticket was rejected", () => {
    const fixture = new AdvisedFixture();
    fixture.allowed = new Set(["w1", "w2"]);
    reportWorkers(fixture, 3);
    fixture.submit("j", [step({ count: 8 })]);
    fixture.advanceBy(500);
    const [first] = fixture.newStarts().filter((each) => each.endsWith("@w1"));
    fixture.queries.length = 0;
    const [task, run] = first!.slice(0, first!.indexOf("@")).split("#");
    fixture.refuse("w1", task!, Number(run), "ticket");
    fixture.advanceBy(500);
    expect(fixture.named).to.eql(["w1"]);
    expect(fixture.newStarts()).to.have.length(1);
  });
});

const smallResources = {
  cpuMilli: 10,
  memoryBytes: 1_000,
  accelerators: 0,
};
