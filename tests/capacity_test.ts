import { expect } from "chai";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import { CellFixture } from "./cell_fixture.ts";
import { CrashFixture } from "./crash_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const mb = 1_048_576;
const small = { cpuMilli: 2_000, memoryBytes: 4_000 * mb, accelerators: 0 };
const large = { cpuMilli: 4_000, memoryBytes: 4_000 * mb, accelerators: 0 };

function resourcesOf(cpuMilli: number) {
  return { cpuMilli, memoryBytes: 100 * mb, accelerators: 0 };
}

describe("a runner whose capacity shrinks", () => {
  const faults = [
    { fault: "ignored", name: "is lost on its way" },
    { fault: "late", name: "is carried out late" },
  ] as const;
  for (const { fault, name } of faults) {
    it(`gets no start that had room before and ${name}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const first = fixture.startCommand({ resources: resourcesOf(3_000) });
      fixture.sendStarts(first);
      await fixture.clock.advance(500);
      fixture.runner.faults.push(fault);
      fixture.sendStarts(fixture.startCommand({
        task: "j.0.0.1" as TaskName,
      }));
      await fixture.clock.advance(50);
      fixture.sendHeartbeat(2, false, 3_000);
      await fixture.clock.advance(2_000);
      fixture.runner.applyDelayed();
      await fixture.clock.advance(2_000);
      expect([...fixture.runner.running.keys()]).to.eql(["j.0.0.0"]);
      expect(fixture.refusals()).to.eql(["j.0.0.1#1 no_room"]);
      fixture.gate.stop();
    });
  }

  it("keeps the starts under way that still fit, the oldest first", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("ignored", "ignored", "ignored");
    const starts = [0, 1, 2].map((index) =>
      fixture.startCommand({ task: `j.0.0.${index}` as TaskName })
    );
    fixture.sendStarts(...starts);
    await fixture.clock.advance(50);
    fixture.sendHeartbeat(2, false, 2_000);
    await fixture.clock.advance(2_000);
    expect([...fixture.runner.running.keys()].sort())
      .to.eql(["j.0.0.0", "j.0.0.1"]);
    expect(fixture.refusals()).to.eql(["j.0.0.2#1 no_room"]);
    fixture.gate.stop();
  });

  it("gets no start beside a run whose stop is not confirmed", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const first = fixture.startCommand({ resources: resourcesOf(3_000) });
    fixture.sendStarts(first);
    await fixture.clock.advance(500);
    fixture.runner.stopMs = () => 1_000;
    fixture.sendStop(first);
    fixture.sendHeartbeat(2, false, 3_000);
    const second = fixture.startCommand({ task: "j.0.0.1" as TaskName });
    fixture.sendStarts(second);
    await fixture.clock.advance(500);
    expect(fixture.refusals()).to.eql(["j.0.0.1#1 no_room"]);
    fixture.gate.stop();
  });

  it("gets no start after its sidecar restarts, until all runs are known", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const first = fixture.startCommand({ resources: resourcesOf(3_000) });
    fixture.sendStarts(first);
    await fixture.clock.advance(500);
    fixture.restartSidecar();
    fixture.sendHeartbeat(2, false, 3_000);
    await fixture.clock.advance(1_000);
    const start = (index: number) =>
      fixture.sendStarts(
        fixture.startCommand({ task: `j.0.0.${index}` as TaskName }),
      );
    start(1);
    await fixture.clock.advance(500);
    fixture.gate.handleMessage({ kind: "known", runs: [first] });
    start(2);
    await fixture.clock.advance(500);
    expect([...fixture.runner.running.keys()]).to.eql(["j.0.0.0"]);
    fixture.gate.stop();
  });
});

describe("a keeper with a worker whose capacity changes", () => {
  it("starts nothing over the smaller one, and more once it grows", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w", { capacity: large });
    const { step } = CellFixture;
    fixture.submit("j", [step({ count: 5 })]);
    fixture.advance();
    expect(fixture.newStarts()).to.have.length(4);
    fixture.reportWorker("w", {
      capacity: small,
      running: fixture.runningOn("w"),
    });
    for (const index of [0, 1]) {
      fixture.endRun("w", `j.0.0.${index}`, 1, "stopped", "", {
        capacity: small,
      });
      fixture.advance(100);
      expect(fixture.newStarts(), `after end ${index}`).to.eql([]);
    }
    fixture.reportWorker("w", {
      capacity: large,
      running: fixture.runningOn("w"),
    });
    fixture.advance(100);
    expect(fixture.newStarts()).to.have.length(2);
  });

  const service = CellFixture.step({
    count: 3,
    isService: true,
    resources: resourcesOf(1_000),
  });
  const rooms = [
    { spare: 3_000, moved: 1, name: "one at a time, where others have room" },
    { spare: 500, moved: 0, name: "not while no other has room" },
  ];
  for (const { spare, moved, name } of rooms) {
    // A worker that had shrunk kept its services, though others had room.
    it(`moves services away: ${name}`, () => {
      const fixture = new CellFixture();
      const other = { capacity: { ...large, cpuMilli: spare } };
      const serveOn = (node: string, change: Partial<SidecarReport>) => {
        const running = fixture.runningOn(node)
          .map((run) => ({ ...run, percent: 100 }));
        fixture.reportWorker(node, { running, ...change });
      };
      serveOn("w", { capacity: large });
      fixture.submit("s", [service]);
      fixture.advance();
      fixture.newStarts();
      serveOn("other", other);
      serveOn("w", { capacity: small });
      fixture.advance(100);
      expect(fixture.newStops()).to.have.length(moved);
      // The one that moves is away, and no more than one may be.
      serveOn("w", { capacity: small });
      fixture.advance(100);
      expect(fixture.newStops()).to.eql([]);
      serveOn("w", { capacity: large });
      fixture.advance(100);
      expect(fixture.newStops()).to.eql([]);
    });
  }

  it("serves on the others within 2 s what does not fit any more", () => {
    const fleet = new CrashFixture(["w1", "w2", "w3"]);
    fleet.submit("s", [{ ...service, count: 6, mostAway: 2 }]);
    fleet.play(2_000);
    fleet.capacities.set("w1", small);
    fleet.play(2_000);
    const counts = ["w1", "w2", "w3"].map((node) =>
      fleet.fixture.runsOn(node).length
    );
    expect(counts[0]).to.be.at.most(2);
    expect(counts.reduce((sum, count) => sum + count)).to.equal(6);
  });
});
