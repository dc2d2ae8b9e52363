import { expect } from "chai";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";
import { CellFixture } from "./cell_fixture.ts";
import { CrashFixture } from "./crash_fixture.ts";

const { step } = CellFixture;
const workers = ["w1", "w2", "w3", "w4", "w5"];
/** Three crashes, and fewer than three starts more. */
const maxStarts = 5;

describe("a task that crashes each worker that starts it", () => {
  const kinds = [
    { kind: "plain", change: {} },
    { kind: "gang", change: { isGang: true } },
    { kind: "service", change: { isService: true } },
    { kind: "speculative", change: { isSpeculative: true } },
    { kind: "filler", change: { isFiller: true, image: "f" } },
  ];
  for (const { kind, change } of kinds) {
    for (const changesKeeper of [false, true]) {
      const keeper = changesKeeper ? "a new keeper each time" : "one keeper";
      it(`is not started for ever: ${kind}, ${keeper}`, () => {
        const fleet = new CrashFixture(workers);
        fleet.changesKeeper = changesKeeper;
        fleet.deadly.add("bad.0.0.1");
        fleet.submit("bad", [step({ count: 3, ...change })]);
        fleet.play(60_000);
        expect(fleet.startCounts.get("bad.0.0.1")).to.be.at.most(maxStarts);
        expect(fleet.fixture.jobState("bad")).to.equal("failed");
      });
    }
  }

  // A restarted sidecar does not know what had begun before the crash.
  const restarts = [
    { sidecarRestarts: Infinity, changesKeeper: false },
    { sidecarRestarts: 2, changesKeeper: true },
  ];
  for (const { sidecarRestarts, changesKeeper } of restarts) {
    const keeper = changesKeeper ? "a new keeper each time" : "one keeper";
    const name = `${sidecarRestarts} restarts of its sidecar, ${keeper}`;
    it(`is not started for ever: ${name}`, () => {
      const fleet = new CrashFixture(workers);
      Object.assign(fleet, { sidecarRestarts, changesKeeper });
      fleet.crashAfterMs = 200;
      fleet.deadly.add("bad.0.0.1");
      fleet.submit("bad", [step({ count: 3 })]);
      fleet.play(60_000);
      expect(fleet.startCounts.get("bad.0.0.1")).to.be.at.most(maxStarts);
      expect(fleet.fixture.jobState("bad")).to.equal("failed");
    });
  }

  const unanswered = [
    { name: "is blamed if its start broke off", hasBegun: true },
    { name: "is not blamed if its start never arrived", hasBegun: false },
  ];
  for (const { name, hasBegun } of unanswered) {
    it(`${name} and is refused by the next life`, () => {
      const fixture = new CellFixture();
      fixture.reportWorker("w");
      fixture.submit("j", [step()]);
      for (let run = 1; run <= maxStarts; run++) {
        fixture.advance(1_000);
        const life = `w@${run + 1}` as RunnerLife;
        const unsettled = [`j.0.0.0#${run}`];
        const crashedStarts = hasBegun ? unsettled : [];
        const report = { life, unsettled, crashedStarts };
        fixture.reportWorker("w", { ...report, isUp: false });
        fixture.refuse("w", "j.0.0.0", run, "old");
        fixture.reportWorker("w", { life, crashedStarts });
      }
      const state = hasBegun ? "failed" : "queued";
      expect(fixture.jobState("j")).to.equal(state);
    });
  }

  it("does not get the jobs given up whose tasks crash beside it", () => {
    const fleet = new CrashFixture(workers);
    fleet.deadly.add("bad.0.0.0").add("worse.0.0.0");
    const jobs = ["a", "b", "c", "d"];
    for (const id of ["bad", ...jobs, "worse"]) {
      fleet.submit(id, [step({ count: 3 })]);
    }
    fleet.play(60_000);
    expect(jobs.map((id) => fleet.fixture.jobState(id)))
      .to.eql(jobs.map(() => "completed"));
    expect(fleet.fixture.jobState("bad")).to.equal("failed");
    expect(fleet.fixture.jobState("worse")).to.equal("failed");
  });
});

describe("tasks that crash workers on which runs start all the time", () => {
  const seeds = [1, 2, 3, 4, 5, 6];
  for (const seed of seeds) {
    it(`alone get their jobs given up, seed ${seed}`, () => {
      const random = new SeededRandom(seed);
      const fleet = new CrashFixture(workers);
      fleet.crashAfterMs = 200;
      const innocent: string[] = [];
      const deadly: string[] = [];
      for (let round = 0; round < 200; round++) {
        const id = `j${round}`;
        const isDeadly = round % 25 === 5;
        (isDeadly ? deadly : innocent).push(id);
        if (isDeadly) fleet.deadly.add(`${id}.0.0.0`);
        fleet.submit(id, [step({ count: 1 + Math.floor(random.next() * 3) })]);
        fleet.play(100 + 100 * Math.floor(random.next() * 3));
      }
      fleet.play(60_000);
      const statesOf = (ids: readonly string[]) =>
        new Set(ids.map((id) => fleet.fixture.jobState(id)));
      expect(statesOf(innocent)).to.eql(new Set(["completed"]));
      expect(statesOf(deadly)).to.eql(new Set(["failed"]));
      for (const id of deadly) {
        expect(fleet.startCounts.get(`${id}.0.0.0`), id)
          .to.be.at.most(maxStarts);
      }
    });
  }
});

describe("a job is not given up", () => {
  const outages: {
    name: string;
    strike: (fleet: CrashFixture, node: string) => void;
  }[] = [
    {
      name: "when its worker crashes again and again, long after the start",
      strike: (fleet, node) => fleet.crash(node),
    },
    {
      name: "when all workers crash together again and again",
      strike: (fleet) => workers.forEach((node) => fleet.crash(node)),
    },
    {
      name: "when its worker is cut off again and again",
      strike: ({ fixture }, node) => {
        const { cell, nowMs } = fixture;
        fixture.collect(cell.handleWorkerLost(node as NodeId, nowMs));
      },
    },
    {
      name: "when its worker and its sidecar restart again and again",
      strike: (fleet, node) => {
        fleet.sidecarRestarts = 1;
        fleet.crash(node);
      },
    },
    {
      name: "when its worker drains and exits again and again",
      strike: (fleet, node) => {
        fleet.report(node, { isDraining: true });
        fleet.crash(node, true);
      },
    },
  ];
  for (const { name, strike } of outages) {
    it(name, () => {
      const fleet = new CrashFixture(workers);
      fleet.submit("j", [step({ isService: true })]);
      for (let time = 0; time < 8; time++) {
        fleet.play(5_000);
        const node = fleet.workerOf("j.0.0.0");
        expect(node, `strike ${time}`).to.be.a("string");
        strike(fleet, node!);
      }
      fleet.play(5_000);
      expect(fleet.fixture.jobState("j")).to.equal("running");
      expect(fleet.workerOf("j.0.0.0")).to.be.a("string");
    });
  }
});
