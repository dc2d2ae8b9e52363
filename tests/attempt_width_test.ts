import { expect } from "chai";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;
const workers = ["w0", "w1", "w2", "w3"];

/** Workers that have each done a task of another job, and a job of 8 tasks. */
function fixtureWith(limitsAttempts: boolean): CellFixture {
  const fixture = new CellFixture({ maxAttempts: 9 }, { limitsAttempts });
  for (const worker of workers) fixture.reportWorker(worker);
  fixture.submit("good", [step({ count: 4 })]);
  fixture.advance();
  endAll(fixture, "good", "done");
  fixture.submit("j", [step({ count: 8 })]);
  fixture.advance();
  fixture.newStarts();
  return fixture;
}

/** Ends the runs of a job on some workers; returns how many there were. */
function endAll(
  fixture: CellFixture,
  job: string,
  outcome: "done" | "failed",
  nodes: readonly string[] = workers,
): number {
  let count = 0;
  for (const node of nodes) {
    for (const { name, run } of fixture.runsOn(node)) {
      if (!name.startsWith(`${job}.`)) continue;
      fixture.endRun(node, name, run, outcome);
      count += 1;
    }
  }
  return count;
}

function startedOf(fixture: CellFixture, job: string): number {
  return fixture.newStarts().filter((each) => each.startsWith(`${job}.`))
    .length;
}

describe("a step that fails by its own fault", () => {
  it("runs all tasks again where attempts are not limited", () => {
    const fixture = fixtureWith(false);
    endAll(fixture, "j", "failed");
    fixture.advance();
    expect(startedOf(fixture, "j")).to.equal(8);
  });

  it("runs two tasks at once until one is done", () => {
    const fixture = fixtureWith(true);
    endAll(fixture, "j", "failed");
    fixture.advance();
    expect(startedOf(fixture, "j")).to.equal(2);
    fixture.advance(500);
    expect(startedOf(fixture, "j")).to.equal(0);
    expect(endAll(fixture, "j", "done")).to.equal(2);
    fixture.advance();
    expect(startedOf(fixture, "j")).to.equal(6);
  });

  it("goes after all other work once a third of its attempts is lost", () => {
    const fixture = fixtureWith(true);
    endAll(fixture, "j", "failed");
    fixture.submit("later", [step({ count: 16, expectedMs: 9_000 })]);
    fixture.advance();
    expect(startedOf(fixture, "j")).to.equal(0);
  });

  it("is not limited after failures on one worker", () => {
    const fixture = fixtureWith(true);
    const failed = endAll(fixture, "j", "failed", ["w0"]);
    fixture.advance();
    expect(startedOf(fixture, "j")).to.equal(failed);
  });

  it("is no longer blamed once its workers fail the work of others", () => {
    const fixture = fixtureWith(true);
    fixture.submit("other", [step({ count: 8 })]);
    fixture.advance();
    const nodes = ["w0", "w1"];
    const failed = endAll(fixture, "j", "failed", nodes);
    endAll(fixture, "other", "failed", nodes);
    fixture.advance(20_000);
    expect(startedOf(fixture, "j")).to.equal(failed);
  });
});

describe("jobs that never succeed, in a played load", () => {
  it("take less work from the others when attempts are limited", () => {
    const uneven = { doomedShare: 0.05 };
    const play = (limitsAttempts: boolean) =>
      new LoadModel(siteLoad(1, 33, { uneven, cell: { limitsAttempts } }))
        .run();
    const [off, on] = [play(false), play(true)];
    expect(on.workedCoreS).to.be.below(off.workedCoreS - 100);
    expect(on.plans.worth).to.be.above(off.plans.worth - 0.01);
  });
});
