import { expect } from "chai";
import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import type { FaultCase } from "./fault_case.ts";
import { callThroughFaults } from "./call_through_faults.ts";
import { startSmallFleet } from "./start_small_fleet.ts";

/** All calls of `callThroughFaults`: 130 checks and 130 orders. */
const callsPerCase = 260;

const cases: readonly FaultCase[] = [
  { name: "no fault" },
  {
    name: "answers with the id of another request",
    runner: { crossedRatio: 0.1 },
  },
  { name: "answers truncated by the runner", runner: { truncatedRatio: 0.1 } },
  { name: "resets after the request ran", runner: { resetRatio: 0.1 } },
  {
    name: "refused connections",
    runnerProxy: { refuseRatio: 0.3, resetRatio: 0.05 },
  },
  {
    name: "resets while a request is sent",
    runnerProxy: { resetRequestRatio: 0.05 },
  },
  {
    name: "answers truncated on the way",
    runnerProxy: { truncateRatio: 0.05 },
  },
  {
    name: "answers that go to another caller",
    runnerProxy: { swapRatio: 0.1 },
  },
  { name: "answers that never arrive", runnerProxy: { loseRatio: 0.02 } },
  {
    name: "faults between entry and sidecar",
    sidecarProxy: {
      swapRatio: 0.05,
      resetRatio: 0.05,
      truncateRatio: 0.03,
      refuseRatio: 0.1,
    },
  },
  {
    name: "all faults at once, with delays",
    runnerProxy: {
      resetRatio: 0.03,
      truncateRatio: 0.03,
      resetRequestRatio: 0.03,
      refuseRatio: 0.1,
      delayMs: 5,
    },
    runner: { crossedRatio: 0.05, truncatedRatio: 0.05, resetRatio: 0.05 },
  },
];

describe("calls during faults, with real processes", function () {
  this.timeout(180_000);
  let fleet: Fleet;

  before(async () => {
    fleet = await startSmallFleet({
      proxies: { runners: true, sidecars: true },
    });
  });

  after(async () => {
    await fleet.stop();
  });

  for (const [index, faults] of cases.entries()) {
    it(`answers match what ran: ${faults.name}`, async () => {
      const result = await callThroughFaults(fleet, faults, `f${index}`);
      expect(result.ended).to.be.at.least(callsPerCase);
      expect(result.wrong, "answers of other callers").to.eql([]);
      expect(result.falselyRefused, "reported as not run, but ran").to.eql([]);
      expect(result.twice, "orders that ran twice").to.eql([]);
    });
  }

  it("reports an unreachable runner, and nothing ran", async () => {
    for (const { runnerProxyAdminPort: adminPort } of fleet.hosts) {
      await postAdmin(adminPort ?? 0, { isCut: true });
    }
    const caller = new Caller(
      [fleet.entryUrl(0)],
      "yaba-club",
      "menu",
      new Tally(),
      "cut",
    );
    const answer = await caller.post("/services/menu/check", { marker: "cut" });
    for (const { runnerProxyAdminPort: adminPort } of fleet.hosts) {
      await postAdmin(adminPort ?? 0, { isCut: false });
    }
    expect(answer.status).to.be.oneOf([502, 503]);
    const { ran } = await audit(fleet, []);
    expect(ran.has("cut")).to.equal(false);
  });
});
