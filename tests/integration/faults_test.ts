import { expect } from "chai";
import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import type { FaultCase } from "./fault_case.ts";
import { faultRun } from "./fault_run.ts";
import { smallFleet } from "./small_fleet.ts";

const callsPerCase = 260;

const cases: readonly FaultCase[] = [
  { name: "no fault" },
  { name: "answers that carry another's id", runner: { crossedRatio: 0.1 } },
  { name: "answers cut short by the runner", runner: { truncatedRatio: 0.1 } },
  { name: "resets after the request ran", runner: { resetRatio: 0.1 } },
  {
    name: "refused connections",
    proxy: { refuseRatio: 0.3, resetRatio: 0.05 },
  },
  {
    name: "resets while a request is sent",
    proxy: { resetRequestRatio: 0.05 },
  },
  { name: "answers cut short on the way", proxy: { truncateRatio: 0.05 } },
  { name: "answers that go to another caller", proxy: { swapRatio: 0.1 } },
  { name: "answers that never arrive", proxy: { loseRatio: 0.02 } },
  {
    name: "the same between entry and sidecar",
    sidecar: {
      swapRatio: 0.05,
      resetRatio: 0.05,
      truncateRatio: 0.03,
      refuseRatio: 0.1,
    },
  },
  {
    name: "all of it, slowly",
    proxy: {
      resetRatio: 0.03,
      truncateRatio: 0.03,
      resetRequestRatio: 0.03,
      refuseRatio: 0.1,
      delayMs: 5,
    },
    runner: { crossedRatio: 0.05, truncatedRatio: 0.05, resetRatio: 0.05 },
  },
];

describe("calls through faults, with real processes", function () {
  this.timeout(180_000);
  let fleet: Fleet;

  before(async () => {
    fleet = await smallFleet({ proxies: { runners: true, sidecars: true } });
  });

  after(async () => {
    await fleet.stop();
  });

  for (const [index, faults] of cases.entries()) {
    it(`answers say what happened: ${faults.name}`, async () => {
      const broken = await faultRun(fleet, faults, `f${index}`);
      expect(broken.answered).to.be.at.least(callsPerCase);
      expect(broken.wrong, "another's answer").to.eql([]);
      expect(broken.falselyRefused, "said not run, but ran").to.eql([]);
      expect(broken.twice, "orders run twice").to.eql([]);
    });
  }

  it("an unreachable runner is said to be so, and nothing ran", async () => {
    for (const { runnerProxyAdmin } of fleet.slots) {
      await postAdmin(runnerProxyAdmin ?? 0, { isCut: true });
    }
    const caller = new Caller(
      [fleet.callers(0)],
      "yaba-club",
      "menu",
      new Tally(),
      "cut",
    );
    const answer = await caller.post("/services/menu/check", { marker: "cut" });
    for (const { runnerProxyAdmin } of fleet.slots) {
      await postAdmin(runnerProxyAdmin ?? 0, { isCut: false });
    }
    expect(answer.status).to.be.oneOf([502, 503]);
    const { ran } = await audit(fleet, []);
    expect(ran.has("cut")).to.equal(false);
  });
});
