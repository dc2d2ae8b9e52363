import { expect } from "chai";
import type { RunStatus } from "../src/core/jobs/run_status.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import { UnevenTruth } from "../stand_ins/load/uneven_truth.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;
const reportMs = 450;
const nodes = ["w0", "w1", "w2", "w3", "w4", "w5"];

/** Plays workers whose runs advance at given speeds. */
class SpeedFixture extends CellFixture {
  /** The speed of a run; 1 ends a task of 10 s in 10 s. */
  speedOf: (node: string, task: string) => number = () => 1;
  readonly #percents = new Map<string, number>();

  constructor() {
    super({ maxAttempts: 3 }, { watchesSpeed: true });
  }

  /** Sends one round of reports. */
  report(silent: readonly string[] = []): void {
    this.advance(reportMs);
    for (const node of nodes) {
      const claims = this.cell.worker(node as NodeId).claims;
      const running: RunStatus[] = [...claims.values()].map(({ name, run }) => {
        const key = `${name}#${run}`;
        const percent = (this.#percents.get(key) ?? 0) +
          this.speedOf(node, name) * reportMs / 100;
        this.#percents.set(key, percent);
        const shown = Math.min(99, Math.floor(percent));
        return { task: name, run, checkpoint: "", percent: shown, figure: 0 };
      });
      if (!silent.includes(node)) this.reportWorker(node, { running });
    }
  }

  get slowWorkers(): string[] {
    return nodes.filter((node) =>
      this.cell.worker(node as NodeId).speed !== "normal"
    );
  }

  notes(): string[] {
    return this.effects.flatMap((effect) =>
      effect.kind === "note" ? [`${effect.event} ${effect.fields.node}`] : []
    );
  }
}

function busyFixture(tasks = 18): SpeedFixture {
  const fixture = new SpeedFixture();
  for (const node of nodes) fixture.reportWorker(node);
  fixture.submit("j", [step({ count: tasks, expectedMs: 10_000 })]);
  fixture.advance();
  for (let round = 0; round < 5; round++) fixture.report();
  return fixture;
}

describe("a worker's speed", () => {
  it("makes it slow within 1.5 s, and usual within 3 s of recovery", () => {
    const fixture = busyFixture();
    expect(fixture.slowWorkers).to.eql([]);
    fixture.speedOf = (node) => node === "w2" ? 1 / 8.7 : 1;
    for (let round = 0; round < 3; round++) fixture.report();
    expect(fixture.slowWorkers).to.eql(["w2"]);
    fixture.submit("k", [step({ count: 6 })]);
    fixture.advance();
    expect(fixture.newStarts().filter((start) => /^k.*@w2/.test(start)))
      .to.eql([]);
    fixture.speedOf = () => 1;
    for (let round = 0; round < 6; round++) fixture.report();
    expect(fixture.slowWorkers).to.eql([]);
    expect(fixture.notes()).to.eql(["worker_slow w2", "worker_recovered w2"]);
  });

  const harmless: readonly (readonly [
    name: string,
    speedOf: (node: string, task: string) => number,
  ])[] = [
    ["one long task on it", (_, task) => task.endsWith(".3") ? 1 / 7 : 1],
    ["a tenth of all tasks long", (_, task) => /[05]$/.test(task) ? 1 / 7 : 1],
    ["all workers slow", () => 0.5],
  ];
  for (const [name, speedOf] of harmless) {
    it(`does not make it slow with ${name}`, () => {
      const fixture = busyFixture(0);
      fixture.speedOf = speedOf;
      fixture.submit("k", [step({ count: 24, expectedMs: 10_000 })]);
      for (let round = 0; round < 12; round++) fixture.report();
      expect(fixture.notes()).to.eql([]);
    });
  }

  it("is not in doubt when its reports do not come for 3 s", () => {
    const fixture = busyFixture();
    for (let round = 0; round < 7; round++) fixture.report(["w1"]);
    for (let round = 0; round < 2; round++) fixture.report();
    expect(fixture.notes()).to.eql([]);
  });

  it("leads to no more than a third of the workers being avoided", () => {
    const fixture = busyFixture();
    fixture.speedOf = (node) => node < "w3" ? 1 / 8.7 : 1;
    for (let round = 0; round < 6; round++) fixture.report();
    expect(fixture.slowWorkers).to.have.length(2);
  });

  it("is without suspicion after its sidecar has restarted", () => {
    const fixture = busyFixture();
    fixture.speedOf = (node) => node === "w2" ? 1 / 8.7 : 1;
    for (let round = 0; round < 3; round++) fixture.report();
    fixture.cell.handleDisconnect("w2" as NodeId);
    expect(fixture.slowWorkers).to.eql([]);
  });

  it("is probed with one short task once nothing runs there", () => {
    const fixture = busyFixture();
    fixture.speedOf = (node) => node === "w2" ? 1 / 8.7 : 1;
    for (let round = 0; round < 3; round++) fixture.report();
    for (const { name, run } of fixture.runsOn("w2")) {
      fixture.endRun("w2", name, run, "done");
    }
    for (let round = 0; round < 5; round++) fixture.report();
    fixture.newStarts();
    fixture.submit("long", [step({ count: 8, expectedMs: 2_000 })]);
    fixture.submit("short", [step({ count: 8, expectedMs: 1_000 })]);
    fixture.advance();
    const onSlow = fixture.newStarts().filter((each) => each.endsWith("@w2"));
    expect(onSlow).to.eql(["short.0.0.0#1@w2"]);
  });
});

describe("slow workers of a played load", () => {
  const cases = [{ workers: 11, seeds: 4 }, { workers: 67, seeds: 1 }];
  const uneven = {
    tailShare: 0.03,
    tailFactor: 7,
    slowShare: 0.07,
    slowFactor: 8.7,
    slowForMs: 5_000,
    slowPeriodMs: 10_000,
  };
  for (const { workers, seeds } of cases) {
    it(`are mostly found within 1.5 s, of ${workers}`, () => {
      let slow = 0;
      let found = 0;
      let timely = 0;
      let wrong = 0;
      for (let seed = 1; seed <= seeds; seed++) {
        const load = { uneven, cell: { watchesSpeed: true } };
        const model = new LoadModel(siteLoad(seed, workers, load));
        model.run();
        const truth = new UnevenTruth(seed, uneven);
        for (const { event, node, atMs } of model.notes) {
          if (event !== "worker_slow") continue;
          // A report may tell of a slow time that has just ended.
          const isSlow = truth.slowdownAt(node, atMs - 900) > 1 ||
            truth.slowdownAt(node, atMs) > 1;
          if (!isSlow) wrong += 1;
          else found += 1;
          if (isSlow && atMs % uneven.slowPeriodMs <= 1_500) timely += 1;
        }
        for (let atMs = 10_000; atMs < 50_000; atMs += uneven.slowPeriodMs) {
          for (let index = 0; index < workers; index++) {
            if (truth.slowdownAt(`w${index}`, atMs) > 1) slow += 1;
          }
        }
      }
      expect(found / slow).to.be.above(0.75);
      expect(timely / found).to.be.above(0.65);
      expect(wrong / (workers * seeds)).to.be.below(0.4);
    });
  }
});
