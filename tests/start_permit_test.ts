import { expect } from "chai";
import { maxPermitMs } from "../src/core/clock/max_permit_ms.ts";
import { StartPermit } from "../src/gate/start_permit.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { GateFixture } from "./gate_fixture.ts";

describe("a permit to start runs", () => {
  const cases = [
    { name: "is not there before a renewal", renewed: 0, isValid: false },
    { name: "comes with a renewal", renewed: 1, isValid: true },
    { name: "does not come for another report", renewed: 2, isValid: false },
    {
      name: "counts from the report, not from its renewal",
      renewed: 1,
      beforeMs: maxPermitMs,
      isValid: false,
    },
    {
      name: "ends after a while",
      renewed: 1,
      afterMs: maxPermitMs,
      isValid: false,
    },
    {
      name: "ends while the monotonic clock stands still",
      renewed: 1,
      suspendedMs: maxPermitMs,
      isValid: false,
    },
  ];
  for (const { name, renewed, isValid, ...passing } of cases) {
    it(name, async () => {
      const { beforeMs = 0, afterMs = 0, suspendedMs = 0 } = passing;
      const clock = new VirtualClock();
      const permit = new StartPermit(clock, () => {});
      permit.recordReport(1);
      await clock.advance(beforeMs);
      permit.renew(renewed);
      await clock.advance(afterMs);
      const wallMs = clock.wallMs() + suspendedMs;
      clock.wallMs = () => wallMs;
      expect(permit.isValid).to.equal(isValid);
    });
  }
});

// Guards against a start whose keeper counts the worker as lost already.
describe("a gate whose keeper does not renew its reports", () => {
  it("lets no start leave until it does", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    fixture.isRenewing = false;
    await clock.advance(1_500);
    fixture.sendStarts(fixture.startCommand());
    await clock.advance(2_000);
    expect(runner.startCount).to.equal(0);
    expect(fixture.lastReport()?.unsettled).to.eql(["j.0.0.0#1"]);
    fixture.isRenewing = true;
    await clock.advance(600);
    expect(runner.startCount).to.equal(1);
    gate.stop();
  });
});

// Guards against reports that load a keeper while it cannot renew.
describe("starts that wait for a permit", () => {
  it("ask for no more reports than there are without them", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate } = fixture;
    fixture.isRenewing = false;
    await clock.advance(2_000);
    for (let index = 0; index < 30; index++) {
      const resources = { cpuMilli: 10, memoryBytes: 1, accelerators: 0 };
      const task = `j.0.0.${index}` as never;
      fixture.sendStarts(fixture.startCommand({ task, resources }));
    }
    fixture.sent.splice(0);
    await clock.advance(9_000);
    const reports = fixture.sent.filter(({ kind }) => kind === "report");
    expect(reports.length).to.be.at.most(2 * 9_000 / 450);
    gate.stop();
  });
});

describe("a start that comes long after the last report", () => {
  it("waits for one renewal only", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    for (let index = 0; index < 20; index++) {
      await clock.advance(137);
      const task = `j.0.0.${index}` as never;
      const resources = { cpuMilli: 100, memoryBytes: 1, accelerators: 0 };
      fixture.sendStarts(fixture.startCommand({ task, resources }));
      await clock.advance(20);
      expect(runner.startCount).to.equal(index + 1);
    }
    gate.stop();
  });
});
