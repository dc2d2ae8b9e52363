import { expect } from "chai";
import { GateFixture } from "../gate_fixture.ts";

// Guards against a start of an earlier process that a next life executes late.
describe("a runner that leaves soon after its sidecar was replaced", () => {
  it("does not count as ended while a start may reach its next life", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("late");
    fixture.runner.reachesNextLife = true;
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(100);
    fixture.restartSidecar();
    await fixture.clock.advance(500);
    fixture.sendHeartbeat(2, true);
    fixture.gate.handleLeave(fixture.runner.instance);
    fixture.runner.exit();
    await fixture.clock.advance(1_000);
    const isReleased = fixture.lastReport()?.isLapsed;
    fixture.runner.restart();
    fixture.runner.applyDelayed();
    expect(fixture.runner.running.size).to.equal(1);
    expect(isReleased).to.equal(false);
    fixture.gate.stop();
  });
});
