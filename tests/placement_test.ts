import { expect } from "chai";
import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import { CellFixture } from "./cell_fixture.ts";
import { placeByFullScan } from "./full_scan_placement.ts";
import { RandomCellLoad } from "./random_cell_load.ts";

const seeds = 30;
const steps = 400;

/** What an effect decides, as text. */
function textOf(effect: CellEffect): string {
  switch (effect.kind) {
    case "start":
      return `start ${effect.node} ${JSON.stringify(effect.command)}`;
    case "save":
      return `save ${effect.job.definition.id}`;
    default:
      return JSON.stringify(effect);
  }
}

function idleTimes({ cell }: CellFixture): unknown[] {
  return [...cell.liveJobs].map((job) => [job.definition.id, job.idleSinceMs]);
}

describe("placement by changes", () => {
  // Guards against a class of demand that is left out though it has room, and
  // against a worker whose cached figures are out of date. Without rechecks by
  // time, which would hide a missed change after 500 ms.
  it("chooses as a scan of all tasks and workers does", () => {
    const counts = { starts: 0, waits: 0, gangs: 0, relaxed: 0 };
    for (let seed = 1; seed <= seeds; seed++) {
      const indexed = new CellFixture();
      const scanned = new CellFixture(undefined, { place: placeByFullScan });
      indexed.cell.demand.recheckMs = Infinity;
      const load = new RandomCellLoad(seed, [indexed, scanned]);
      for (let step = 0; step < steps; step++) {
        for (const worker of scanned.cell.workers.values()) {
          worker.stuckCheckAtMs = -Infinity;
        }
        const [actual = [], expected = []] = load.step();
        const at = `seed ${seed}, step ${step}`;
        expect(actual.map(textOf), at).to.eql(expected.map(textOf));
        expect(idleTimes(indexed), at).to.eql(idleTimes(scanned));
        for (const effect of actual) {
          if (effect.kind !== "start") continue;
          counts.starts += 1;
          const task = indexed.cell.task(effect.command.task);
          if (task?.group.definition.isGang) counts.gangs += 1;
        }
        for (const job of indexed.cell.liveJobs) {
          if (job.waitingGroups.length > 0) counts.waits += 1;
        }
      }
    }
    expect(counts.starts).to.be.above(seeds * 100);
    expect(counts.gangs).to.be.above(seeds);
    expect(counts.waits).to.be.above(counts.starts);
  });
});

describe("a change that placement does not see", () => {
  // A class of demand that is left out for good makes its jobs wait for ever.
  function fixtureWithUnseenLabel(): CellFixture {
    const fixture = new CellFixture();
    const labels: string[] = [];
    fixture.reportWorker("w", { labels });
    fixture.submit("j", [CellFixture.step({ label: "late" })]);
    fixture.advance();
    labels.push("late");
    fixture.advance(50);
    expect(fixture.newStarts()).to.eql([]);
    return fixture;
  }

  it("takes effect within half a second", () => {
    const fixture = fixtureWithUnseenLabel();
    fixture.advance(400);
    expect(fixture.newStarts()).to.eql([]);
    fixture.advance(50);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
  });

  it("takes effect at once if it is announced", () => {
    const fixture = fixtureWithUnseenLabel();
    fixture.cell.demand.noteCapacityChange();
    fixture.advance(50);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
  });
});
