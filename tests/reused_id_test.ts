import { expect } from "chai";
import { maxLatenessMs } from "../src/core/clock/max_lateness_ms.ts";
import { maxPermitMs } from "../src/core/clock/max_permit_ms.ts";
import { maxTransitMs } from "../src/core/clock/max_transit_ms.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";
import { KeeperTerm } from "./keeper_term.ts";

const { maxHoldMs, stepMs } = KeeperTerm;
/** The longest lease by a clock that is 2 % slow. */
const slowLeaseMs = maxHoldMs / 0.98;
/** A keeper's bound for a lease of a life that it knows. */
const knownLeaseMs = maxHoldMs * 1.02 + 250;
const lostWorker = "w" as NodeId;
const otherWorker = "v" as NodeId;
const noneBefore = {
  epoch: 0,
  node: "k" as NodeId,
  incarnation: "i",
  endedAtMs: 0,
};

// Guards against a second run beside one that a runner's next life has taken.
describe("the run of a worker that falls silent starts elsewhere", () => {
  const cases = [
    {
      name: "after a lease that began with the last possible start",
      isListed: false,
      fromMs: maxPermitMs + slowLeaseMs,
      toMs: knownLeaseMs + (maxPermitMs + maxTransitMs) * 1.02 + 4 * stepMs,
    },
    {
      name: "after the lease of the life that has listed it",
      isListed: true,
      fromMs: slowLeaseMs,
      toMs: knownLeaseMs + 4 * stepMs,
    },
  ];
  for (const { name, isListed, fromMs, toMs } of cases) {
    for (const isReplaced of [false, true]) {
      it(`${name}, keeper replaced: ${isReplaced}`, async () => {
        const [store, clock] = [new StoreModel(), new VirtualClock()];
        let term = await KeeperTerm.begin(store, clock, 1, noneBefore);
        term.report(lostWorker);
        let reportedAtMs = clock.nowMs();
        await term.awaitStart(1_000);
        if (isListed) {
          term.report(lostWorker, true);
          reportedAtMs = clock.nowMs();
        }
        if (isReplaced) {
          await clock.advance(1_500);
          term.session.close();
          const before = { ...noneBefore, epoch: 1 };
          reportedAtMs = before.endedAtMs = clock.nowMs();
          term = await KeeperTerm.begin(store, clock, 2, before);
        }
        term.session.cell.handleDisconnect(lostWorker);
        term.sent.splice(0);
        await term.awaitStart(20_000, otherWorker);
        expect(term.starts()).to.eql([otherWorker]);
        expect(clock.nowMs() - reportedAtMs).to.be.within(fromMs, toMs);
        term.session.close();
      });
    }
  }
});

// Guards against a run that begins in a next life after its claim was released,
// since the sidecar's earlier process had sent its start.
describe("a claim whose sidecar was replaced before its runner's next life", () => {
  const life = "w@2" as RunnerLife;
  const cases = [
    { isPredecessorSettled: undefined, isListed: false, isKept: true },
    { isPredecessorSettled: false, isListed: false, isKept: true },
    { isPredecessorSettled: false, isListed: true, isKept: true },
    { isPredecessorSettled: true, isListed: false, isKept: false },
  ];
  for (const { isPredecessorSettled, isListed, isKept } of cases) {
    const name = isKept
      ? "is kept until the run is refused there"
      : "is released at once";
    const told = `settled: ${isPredecessorSettled}, listed: ${isListed}`;
    it(`${name}, ${told}`, () => {
      const fixture = new CellFixture();
      fixture.reportWorker("w");
      fixture.submit("j", [CellFixture.step()]);
      fixture.advance();
      fixture.newStarts();
      const running = fixture.runningOn("w");
      if (isListed) fixture.reportWorker("w", { running });
      fixture.reportWorker("w", { life, isPredecessorSettled });
      fixture.advance();
      if (isKept) {
        expect(fixture.newStarts()).to.eql([]);
        expect(fixture.newStops()).to.eql(["j.0.0.0#1@w"]);
        fixture.refuse("w", "j.0.0.0", 1, "old");
        fixture.advance();
      }
      expect(fixture.newStops()).to.eql([]);
      expect(fixture.newStarts()).to.eql(["j.0.0.0#2@w"]);
    });
  }

  it("never runs there once it is refused", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, runner } = fixture;
    const command = fixture.startCommand();
    runner.faults.push("late");
    runner.reachesNextLife = true;
    fixture.sendStarts(command);
    await clock.advance(10);
    runner.restart();
    fixture.restartSidecar();
    await clock.advance(1_000);
    const { instance, bornMs } = runner;
    const nextLife = `${instance}@${bornMs}` as RunnerLife;
    fixture.sendStop({ ...command, life: nextLife });
    await clock.advance(600);
    expect(fixture.refusals()).to.eql(["j.0.0.0#1 old"]);
    runner.applyDelayed();
    expect(runner.running.size).to.equal(0);
    fixture.gate.stop();
  });
});

// Guards against a start of an earlier process that a next life executes late.
describe("a runner that leaves soon after its sidecar was replaced", () => {
  for (const isListed of [false, true]) {
    it(`keeps its claim while a start may reach its next life: ${!isListed}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const { clock, runner } = fixture;
      const cell = new CellFixture();
      cell.reportWorker("w", fixture.lastReport());
      cell.submit("j", [CellFixture.step()]);
      cell.advance();
      const [command] = cell.newStartCommands();
      if (!isListed) runner.faults.push("late");
      runner.reachesNextLife = true;
      fixture.sendStarts(command!);
      await clock.advance(900);
      cell.reportWorker("w", fixture.lastReport());
      cell.reportWorker("v");
      fixture.restartSidecar();
      await clock.advance(500);
      fixture.sendHeartbeat(2, true);
      fixture.gate.handleLeave(runner.instance);
      runner.exit();
      await clock.advance(1_000);
      expect(fixture.lastReport()?.isLapsed).to.equal(true);
      cell.reportWorker("w", fixture.lastReport());
      cell.advance();
      runner.restart();
      runner.applyDelayed();
      expect(runner.running.size).to.equal(isListed ? 0 : 1);
      expect(cell.newStarts()).to.eql(isListed ? ["j.0.0.0#2@v"] : []);
      fixture.gate.stop();
    });
  }
});

// Guards against a claim that an earlier life listed, and a later one did not.
describe("a claim that moved to the next life while unsettled", () => {
  it("is not listed by that life", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w");
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance();
    fixture.newStarts();
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    // The gate had an unanswered start of it, and stops it in life 2.
    const unsettled = ["j.0.0.0#1"];
    fixture.reportWorker("w", { life: "w@2" as RunnerLife, unsettled });
    const [task] = fixture.runsOn("w");
    expect(task?.claim?.life).to.equal("w@2");
    expect(task?.claim?.isListed).to.equal(false);
  });
});

function isUpAgain(fixture: GateFixture): boolean {
  const { isUp, life } = fixture.lastReport()!;
  return isUp && life === fixture.startCommand().life;
}

// Guards against a start that the list of a later process takes for settled.
describe("a start of an earlier process of the sidecar", () => {
  for (const isResent of [false, true]) {
    it(`keeps its claim though the next process listed the life, resent: ${isResent}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const { clock, runner } = fixture;
      const cell = new CellFixture();
      cell.reportWorker("w", fixture.lastReport());
      cell.submit("j", [CellFixture.step()]);
      cell.advance();
      const [command] = cell.newStartCommands();
      runner.faults.push("late");
      runner.reachesNextLife = true;
      fixture.sendStarts(command!);
      const sentAtMs = clock.nowMs();
      await clock.advance(10);
      cell.cell.handleDisconnect("w" as NodeId);
      fixture.detach();
      fixture.restartSidecar();
      await clock.advance(100);
      const report = () => cell.reportWorker("w", fixture.lastReport());
      report();
      const again = cell.newStartCommands();
      expect(again.map(({ run }) => run)).to.eql([1]);
      if (isResent) {
        fixture.sendStarts(...again);
        await clock.advance(900);
        report();
      }
      runner.restart();
      fixture.sendHeartbeat(1);
      for (let ms = 0; ms < 1_000 && !isUpAgain(fixture); ms += 10) {
        await clock.advance(10);
      }
      report();
      cell.reportWorker("v");
      cell.advance();
      await clock.advance(20);
      runner.applyDelayed();
      expect(clock.nowMs() - sentAtMs).to.be.below(
        isResent ? maxLatenessMs : maxTransitMs,
      );
      const starts = cell.newStarts();
      expect([runner.running.size, ...starts]).to.not.eql([1, "j.0.0.0#2@v"]);
      expect(starts).to.eql([]);
      fixture.gate.stop();
    });
  }
});
