import { expect } from "chai";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunStatus } from "../src/core/jobs/run_status.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import { WorkBudget } from "../src/core/estimate/work_budget.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;
const reportMs = 450;
const nodes = ["w0", "w1", "w2", "w3"];
const longTask = "j.0.0.3";

/** Reports runs of 5 s, of which one takes 7 times as long. */
function play(
  change: Partial<StepDefinition>,
  { rounds = 14, count = 8, watchesSpeed = true } = {},
): string[] {
  const fixture = new CellFixture({ maxAttempts: 3 }, { watchesSpeed });
  for (const node of nodes) fixture.reportWorker(node);
  fixture.submit("j", [step({ count, expectedMs: 5_000, ...change })]);
  fixture.advance();
  const percents = new Map<string, number>();
  for (let round = 0; round < rounds; round++) {
    fixture.advance(reportMs);
    for (const node of nodes) {
      const running: RunStatus[] = fixture.runsOn(node).map(({ name, run }) => {
        const gain = reportMs / 50 / (name === longTask ? 7 : 1);
        const percent = (percents.get(name) ?? 0) + gain;
        percents.set(name, percent);
        return {
          task: name,
          run,
          checkpoint: `${Math.floor(percent)}`,
          percent: Math.min(99, Math.floor(percent)),
          figure: 1_000,
        };
      });
      fixture.reportWorker(node, { running });
      for (const { name, run, claim } of fixture.runsOn(node)) {
        const isDone = (percents.get(name) ?? 0) >= 100;
        if (!isDone && claim?.phase !== "stopping") continue;
        const claims = fixture.cell.worker(node as NodeId).claims;
        const others = running.filter(({ task }) =>
          task !== name && claims.has(task)
        );
        const outcome = isDone ? "done" : "stopped";
        fixture.endRun(node, name, run, outcome, "9", { running: others });
      }
    }
  }
  return fixture.newStops().map((stop) => stop.split("@")[0] ?? "");
}

describe("a task that takes far longer than its peers", () => {
  it("is restarted once from its checkpoint", () => {
    expect(play({ savesProgress: true }, { rounds: 40 }))
      .to.eql([`${longTask}#1`]);
  });

  it("is restarted as a filler", () => {
    expect(play({ savesProgress: true, isFiller: true, image: "f" }))
      .to.eql([`${longTask}#1`]);
  });

  const untouched: readonly (readonly [
    name: string,
    change: Partial<StepDefinition>,
    options?: Parameters<typeof play>[1],
  ])[] = [
    ["it writes no checkpoints", {}],
    ["no other worker has room", { savesProgress: true }, {
      count: 16,
      rounds: 10,
    }],
    ["speeds are not watched", { savesProgress: true }, {
      watchesSpeed: false,
    }],
    ["it belongs to a gang", { savesProgress: true, isGang: true }],
  ];
  for (const [name, change, options] of untouched) {
    it(`is left alone if ${name}`, () => {
      expect(play(change, options)).to.eql([]);
    });
  }
});

describe("a task on a slow worker", () => {
  it("is restarted on another one, not on one that is slow too", () => {
    const options = { watchesSpeed: true };
    const fixture = new CellFixture({ maxAttempts: 3 }, options);
    for (const node of nodes) fixture.reportWorker(node);
    const steps = [step({ count: 8, expectedMs: 10_000, savesProgress: true })];
    fixture.submit("j", steps);
    fixture.advance();
    const percents = new Map<string, number>();
    for (let round = 0; round < 10; round++) {
      fixture.advance(reportMs);
      for (const node of nodes) {
        const isSlow = node === "w1" && round >= 4;
        const running = fixture.runsOn(node).map(({ name, run }) => {
          const gain = reportMs / 100 / (isSlow ? 8.7 : 1);
          const percent = (percents.get(name) ?? 0) + gain;
          percents.set(name, percent);
          const shown = Math.floor(percent);
          return {
            task: name,
            run,
            checkpoint: "c",
            percent: shown,
            figure: 1_000,
          };
        });
        fixture.reportWorker(node, { running });
      }
    }
    expect(fixture.cell.worker("w1" as NodeId).speed).to.equal("slow");
    const stops = fixture.newStops();
    expect(stops).to.have.length(2);
    expect(stops.every((stop) => stop.endsWith("@w1"))).to.equal(true);
  });
});

describe("extra work", () => {
  it("is bounded to a twentieth of the work that runs", () => {
    const budget = new WorkBudget();
    expect(budget.trySpend(1, 0)).to.equal(false);
    for (let nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
      budget.addWork(1_000, nowMs);
      while (budget.trySpend(10, nowMs));
    }
    expect(budget.extraCoreMs).to.be.within(0.03 * 60_000, 0.05 * 60_000);
  });

  it("of a played load with long runs is small, and plans gain", () => {
    const seeds = [1, 2, 3, 4];
    const totals = [false, true].map((watchesSpeed) => {
      let plans = 0;
      let extra = 0;
      let worked = 0;
      for (const seed of seeds) {
        const uneven = { tailShare: 0.03, tailFactor: 7, isTailOfRun: true };
        const change = { uneven, cell: { watchesSpeed } };
        const result = new LoadModel(siteLoad(seed, 11, change)).run();
        plans += result.plans.worth / seeds.length;
        extra += result.extraCoreS;
        worked += result.workedCoreS;
      }
      return { plans, extra, worked };
    });
    const [off, on] = totals as [typeof totals[0], typeof totals[0]];
    expect(on!.plans).to.be.above(off!.plans + 0.05);
    expect(on!.extra - off!.extra).to.be.below(0.05 * on!.worked);
  });
});
