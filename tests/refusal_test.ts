import { expect } from "chai";
import type { StartRefusal } from "../src/core/cell/start_refusal.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const { step } = CellFixture;
const otherTask = "k.0.0.0" as TaskName;
/** Until then an earlier process of the sidecar may have sent a start too. */
const settledMs = 7_000;
const whole = { cpuMilli: 4_000, memoryBytes: 1, accelerators: 0 };

/** A gate whose runner has no room, and which has refused a start for that. */
async function refusingGate(waitMs: number): Promise<GateFixture> {
  const fixture = new GateFixture();
  await fixture.start();
  await fixture.clock.advance(waitMs);
  const filling = fixture.startCommand({ task: otherTask, resources: whole });
  fixture.sendStarts(filling);
  await fixture.clock.advance(100);
  fixture.sendStarts(fixture.startCommand());
  await fixture.clock.advance(200);
  expect(fixture.refusals()).to.eql(["j.0.0.0#1 no_room"]);
  fixture.sendStop(filling);
  await fixture.clock.advance(1_000);
  expect(fixture.runner.running.size).to.equal(0);
  return fixture;
}

describe("a refused start that arrives again once there is room", () => {
  const cases = [
    { name: "in a new process of the sidecar", waitMs: 0 },
    { name: "in one that has run for a while", waitMs: settledMs },
  ];
  for (const { name, waitMs } of cases) {
    it(`is refused again, ${name}`, async () => {
      const fixture = await refusingGate(waitMs);
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_000);
      expect(fixture.runner.startCount).to.equal(1);
      expect(new Set(fixture.refusals())).to.eql(
        new Set(["j.0.0.0#1 no_room"]),
      );
      fixture.sendStarts(fixture.startCommand({ run: 2 }));
      await fixture.clock.advance(1_000);
      expect(fixture.runner.startCount).to.equal(2);
      fixture.gate.stop();
    });

    it(`is refused by the runner, after one ${name} ended`, async () => {
      const fixture = await refusingGate(waitMs);
      fixture.restartSidecar();
      await fixture.clock.advance(1_500);
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_000);
      expect(fixture.runner.startCount).to.equal(1);
      fixture.gate.stop();
    });
  }
});

describe("a refusal", () => {
  it("reaches a keeper that connects later, until it is noted", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    await fixture.clock.advance(settledMs);
    fixture.detach();
    fixture.sendStarts(
      fixture.startCommand({ resources: { ...whole, cpuMilli: 5_000 } }),
    );
    await fixture.clock.advance(500);
    expect(fixture.refusals()).to.eql([]);
    const messages: PeerMessage[] = [];
    fixture.gate.attachKeeper(2, (message) => void messages.push(message));
    await fixture.clock.advance(50);
    const refusalsOf = (message: PeerMessage | undefined) =>
      message?.kind === "report"
        ? message.report.refusals?.map(({ task, run }) => `${task}#${run}`)
        : undefined;
    expect(refusalsOf(messages[0])).to.eql(["j.0.0.0#1"]);
    fixture.gate.handleMessage({
      kind: "noted",
      refusals: [{ task: "j.0.0.0" as TaskName, run: 1 }],
    });
    await fixture.clock.advance(1_000);
    expect(refusalsOf(messages.at(-1))).to.eql([]);
    fixture.gate.stop();
  });

  const cases: readonly {
    readonly name: string;
    readonly reason: StartRefusal;
    readonly life: string;
    readonly isReleased: boolean;
  }[] = [
    {
      name: "for want of room",
      reason: "no_room",
      life: "w@1",
      isReleased: true,
    },
    {
      name: "of its life",
      reason: "other_life",
      life: "w@1",
      isReleased: true,
    },
    {
      name: "of another life",
      reason: "other_life",
      life: "w@0",
      isReleased: false,
    },
  ];
  for (const { name, reason, life, isReleased } of cases) {
    it(`${isReleased ? "releases" : "keeps"} a claim, if it is ${name}`, () => {
      const fixture = new CellFixture();
      fixture.reportWorker("w");
      fixture.submit("j", [step()]);
      fixture.advance();
      const refusal = {
        task: "j.0.0.0" as TaskName,
        run: 1,
        life: life as RunnerLife,
        reason,
      };
      fixture.reportWorker("w", { refusals: [refusal] });
      const { claim } = fixture.cell.task(refusal.task)!;
      expect(claim === undefined).to.equal(isReleased);
    });
  }
});

describe("a start that waits for the store", () => {
  it("is not repeated", () => {
    const fixture = new CellFixture();
    fixture.isStoreSlow = true;
    fixture.reportWorker("w");
    fixture.submit("j", [step()]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
    fixture.nowMs += 2_000;
    fixture.reportWorker("w");
    expect(fixture.newStarts()).to.eql([]);
  });

  it("is given up without a stop if its job is cancelled", () => {
    const fixture = new CellFixture();
    fixture.isStoreSlow = true;
    fixture.reportWorker("w");
    fixture.submit("j", [step()]);
    fixture.advance();
    const [start] = fixture.newStartCommands();
    const job = [...fixture.cell.liveJobs][0]!;
    fixture.collect(fixture.cell.cancel(job.definition.id, fixture.nowMs));
    expect(fixture.newStops()).to.eql([]);
    const [worker] = fixture.cell.workers.values();
    expect(fixture.cell.markOrdered(worker!.node, start!)).to.equal(false);
    expect(worker!.claims.size).to.equal(0);
  });
});

describe("a run that may start on a worker without a claim", () => {
  it("is stopped before it does", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w", { unsettled: ["j.0.0.0#4"] });
    expect(fixture.newStops()).to.eql(["j.0.0.0#4@w"]);
  });
});

describe("a start that was answered the second time", () => {
  it("is stopped in the runner's next life, which the first may reach", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("late");
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.running.map(({ run }) => run)).to.eql([1]);
    fixture.runner.restart();
    fixture.runner.reachesNextLife = true;
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(1_000);
    fixture.runner.applyDelayed();
    expect([...fixture.runner.running.keys()]).to.eql([]);
    fixture.gate.stop();
  });
});
