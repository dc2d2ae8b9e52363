import { expect } from "chai";
import { GateFixture } from "./gate_fixture.ts";

/** Longer than any lease lasts, also on a slow clock. */
const lapsedMs = 9_000;
/** A call without answer may be executed so much later. */
const lateCallMs = 15_000;
/** A process that was frozen handles what has come in the meantime so late. */
const lateMs = 5_000;

function hasReportedLapse({ sent }: GateFixture): boolean {
  return sent.some((message) =>
    message.kind === "report" && message.report.isLapsed
  );
}

describe("a gate that reports a lease as lapsed", () => {
  it("starts nothing afterwards that it was told to start before", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.isSilent = true;
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(lapsedMs);
    expect(hasReportedLapse(fixture)).to.equal(true);
    fixture.runner.isSilent = false;
    // The lease is renewed by polls before the next command gets through.
    fixture.runner.faults.push("ignored", "ignored", "ignored");
    await fixture.clock.advance(3_000);
    expect(fixture.lastReport()?.isUp).to.equal(true);
    expect(fixture.runner.startCount).to.equal(0);
    fixture.gate.stop();
  });

  it("lets no start reach the runner's next life after it has ended", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.isRenewing = false;
    await fixture.clock.advance(lapsedMs);
    const command = fixture.startCommand();
    fixture.runner.restart();
    fixture.sendStarts(command);
    await fixture.clock.advance(lapsedMs);
    expect(fixture.runner.startCount).to.equal(0);
    fixture.gate.stop();
  });

  it("does not while the runner's next life has a run from it", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.isRenewing = false;
    // No heartbeat has come, so the start is meant for the earlier life.
    const command = fixture.startCommand();
    fixture.runner.restart();
    fixture.sendStarts(command);
    await fixture.clock.advance(1_000);
    expect(fixture.runner.running.size).to.equal(1);
    expect(hasReportedLapse(fixture)).to.equal(false);
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.running.map(({ run }) => run)).to.eql([1]);
    fixture.gate.stop();
  });
});

// Guards against a lease that is counted from before a next life began it. The
// clock of a life that has just begun does not tell it from the next one.
describe("a start that a next life takes just before it is cut off", () => {
  const renewedMs = 600;
  for (const youngMs of [850, 900, 950, 1_000]) {
    it(`keeps the lease from lapsing, after a life of ${youngMs} ms`, async () => {
      const fixture = new GateFixture(0.98);
      await fixture.start();
      const { clock, gate, runner } = fixture;
      runner.restart();
      fixture.sendHeartbeat(1);
      await clock.advance(renewedMs);
      fixture.isRenewing = false;
      await clock.advance(youngMs - renewedMs);
      const command = fixture.startCommand();
      runner.restart();
      fixture.sendStarts(command);
      await clock.advance(10);
      runner.isSilent = true;
      expect(runner.running.size).to.equal(1);
      while (runner.clockMs < runner.leaseEndClockMs) {
        expect(hasReportedLapse(fixture)).to.equal(false);
        await clock.advance(50);
      }
      await clock.advance(lapsedMs);
      expect(hasReportedLapse(fixture)).to.equal(true);
      gate.stop();
    });
  }
});

describe("a runner that leaves", () => {
  // Guards against claims that wait for a lease though nothing runs any more.
  const cases = [
    { name: "has exited", hasLeft: true, hasExited: true, isLapsed: true },
    { name: "still answers", hasLeft: true, hasExited: false, isLapsed: false },
    {
      name: "only refuses connections",
      hasLeft: false,
      hasExited: true,
      isLapsed: false,
    },
  ];
  for (const { name, hasLeft, hasExited, isLapsed } of cases) {
    it(`is reported as ended, or not: it ${name}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_000);
      if (hasLeft) fixture.gate.handleLeave(fixture.runner.instance);
      if (hasExited) fixture.runner.exit();
      await fixture.clock.advance(1_000);
      expect(fixture.lastReport()?.isLapsed).to.equal(isLapsed);
      fixture.gate.stop();
    });
  }
});

describe("an answer of the runner that is handled late", () => {
  // Guards against claims kept for a next life that the runner never had.
  it("is not taken for one of a next life", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    const hold = runner.hold.bind(runner);
    runner.hold = async (command) => {
      runner.hold = hold;
      const answer = await hold(command);
      await clock.sleep(lateMs);
      return answer;
    };
    await clock.advance(lateMs / 2);
    gate.handleLeave(runner.instance);
    runner.exit();
    await clock.advance(lateMs);
    expect(fixture.lastReport()?.isLapsed).to.equal(true);
    gate.stop();
  });
});

describe("a next life of the runner that ends before its first heartbeat", () => {
  // Guards against claims that are kept for as long as the sidecar reports.
  it("has lapsed once its longest lease has ended, and not before", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    runner.restart();
    await clock.advance(1_000);
    runner.exit();
    await clock.advance(GateFixture.maxHoldMs - 1_000);
    expect(hasReportedLapse(fixture)).to.equal(false);
    await clock.advance(lateCallMs + lapsedMs);
    expect(hasReportedLapse(fixture)).to.equal(true);
    gate.stop();
  });
});

// Guards against a stale start that outlives the claim that its keeper released.
describe("a next life of the runner without a heartbeat", () => {
  it("gets no lease from polls that were meant for the life before", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    runner.isSilent = true;
    await clock.advance(1_500);
    runner.restart();
    runner.isSilent = false;
    await clock.advance(2_000);
    expect(runner.leaseEndClockMs).to.equal(0);
    gate.stop();
  });
});

// Guards against a keeper that waits for a lease since no sidecar could tell.
describe("a sidecar that restarts while there is no keeper", () => {
  for (const hasExited of [true, false]) {
    const name = hasExited ? "tells" : "does not tell";
    it(`${name} of the end of a runner that left, exited: ${hasExited}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.detach();
      fixture.restartSidecar(false);
      const ended: string[] = [];
      fixture.gate.onEnded = (life) => ended.push(life);
      fixture.sendHeartbeat(2, true);
      const { instance } = fixture.runner;
      fixture.gate.handleLeave(instance);
      if (hasExited) fixture.runner.exit();
      await fixture.clock.advance(600);
      fixture.gate.stop();
      expect(ended.length).to.equal(hasExited ? 1 : 0);
    });
  }
});

// Guards against a lease that is counted from before a late start began it.
describe("a sidecar that has replaced another", () => {
  it("reports no lapse while a next life holds a start of that one", async () => {
    const fixture = new GateFixture(0.98);
    await fixture.start();
    const { clock, runner } = fixture;
    runner.faults.push("late");
    runner.reachesNextLife = true;
    fixture.sendStarts(fixture.startCommand());
    await clock.advance(10);
    runner.isSilent = true;
    fixture.restartSidecar();
    await clock.advance(1_000);
    runner.restart();
    runner.applyDelayed();
    expect(runner.running.size).to.equal(1);
    const lapsedAt: number[] = [];
    while (runner.clockMs < runner.leaseEndClockMs) {
      if (fixture.lastReport()?.isLapsed) {
        lapsedAt.push(Math.round(runner.leaseEndClockMs - runner.clockMs));
        break;
      }
      await clock.advance(50);
    }
    expect(lapsedAt, "lease left at the lapse, ms").to.eql([]);
    fixture.gate.stop();
  });
});
