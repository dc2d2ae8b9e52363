import { expect } from "chai";
import { GateFixture } from "./gate_fixture.ts";

const clockRate = 0.98;
const checkMs = 20;

// Guards against a lease that a sidecar reports as ended while its runner's next
// life holds it, by a call that the sidecar's earlier process had sent.
describe("a sidecar that is replaced between two lives of its runner", () => {
  const cases = [
    { returnMs: 50, isHeard: true },
    { returnMs: 200, isHeard: true },
    { returnMs: 390, isHeard: true },
    { returnMs: 390, isHeard: false },
  ];
  for (const { returnMs, isHeard } of cases) {
    const name = `${returnMs} ms, next life heard: ${isHeard}`;
    it(`reports no lapse while a run is active there: ${name}`, async () => {
      const fixture = new GateFixture(clockRate);
      await fixture.start();
      const { clock, runner } = fixture;
      runner.beginReturn();
      fixture.sendStarts(fixture.startCommand());
      await clock.advance(1);
      // The last heartbeat of the former life reaches the new process.
      fixture.restartSidecar();
      await clock.advance(returnMs);
      runner.cut = "answers";
      runner.restart();
      await clock.advance(1);
      expect(runner.startCount).to.equal(1);
      if (isHeard) fixture.sendHeartbeat(1);
      while (runner.clockMs < runner.leaseEndClockMs) {
        expect(fixture.lastReport()?.isLapsed).to.equal(false);
        await clock.advance(checkMs);
      }
      await clock.advance(3_000);
      expect(fixture.lastReport()?.isLapsed).to.equal(true);
      fixture.gate.stop();
    });
  }
});
