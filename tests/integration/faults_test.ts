import { expect } from "chai";
import { audit } from "../../demo/audit.ts";
import { Caller } from "../../demo/caller.ts";
import { Tally } from "../../demo/tally.ts";
import { postAdmin } from "../../stand_ins/fleet/post_admin.ts";
import type { Fleet } from "../../stand_ins/fleet/fleet.ts";
import { smallFleet } from "./small_fleet.ts";

const perKind = 130;
const together = 10;

interface Case {
  readonly name: string;
  readonly proxy?: Record<string, unknown>;
  readonly runner?: Record<string, unknown>;
}

const cases: readonly Case[] = [
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

const noProxyFaults = {
  resetRatio: 0,
  truncateRatio: 0,
  resetRequestRatio: 0,
  refuseRatio: 0,
  delayMs: 0,
};
const noRunnerFaults = { crossedRatio: 0, truncatedRatio: 0, resetRatio: 0 };

async function setFaults(fleet: Fleet, { proxy, runner }: Case): Promise<void> {
  for (const { runnerPort, runnerProxyAdmin } of fleet.slots) {
    await postAdmin(runnerPort, { ...noRunnerFaults, ...runner });
    await postAdmin(runnerProxyAdmin ?? 0, { ...noProxyFaults, ...proxy });
  }
}

async function sendAll(caller: Caller): Promise<void> {
  for (let sent = 0; sent < perKind; sent += together) {
    const calls = Array.from(
      { length: together },
      () => [caller.check(), caller.order(3)],
    );
    await Promise.all(calls.flat());
  }
}

describe("calls through faults, with real processes", function () {
  this.timeout(180_000);
  let fleet: Fleet;

  before(async () => {
    fleet = await smallFleet({ proxies: { runners: true } });
  });

  after(async () => {
    await fleet.stop();
  });

  for (const [index, faults] of cases.entries()) {
    it(`answers say what happened: ${faults.name}`, async () => {
      await setFaults(fleet, faults);
      const entries = [fleet.callers(0), fleet.callers(1)];
      const tally = new Tally();
      const caller = new Caller(
        entries,
        "yaba-club",
        "menu",
        tally,
        `f${index}`,
      );
      await sendAll(caller);
      await setFaults(fleet, { name: "" });
      const { ran } = await audit(fleet, []);
      const counts = [...tally.rows.values()];
      const answered = counts.reduce(
        (sum, row) => sum + row.ok + row.refused,
        0,
      );
      expect(answered).to.be.at.least(2 * perKind);
      expect(caller.wrong).to.eql([]);
      const falselyRefused = [...caller.saidNotRun].filter((m) => ran.has(m));
      expect(falselyRefused, "said not run, but ran").to.eql([]);
      const twice = [...caller.orders].filter((m) => (ran.get(m) ?? 0) > 1);
      expect(twice, "orders run twice").to.eql([]);
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
