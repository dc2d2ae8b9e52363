import { expect } from "chai";
import { GateFixture } from "./gate_fixture.ts";

/** Longer than any lease lasts, also on a slow clock. */
const lapsedMs = 9_000;

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

  it("does not while the runner's next life has a run from it", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.isRenewing = false;
    await fixture.clock.advance(lapsedMs);
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
