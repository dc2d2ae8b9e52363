import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { Election } from "../src/cellhost/election.ts";
import type { Predecessor } from "../src/cellhost/predecessor.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { idleReport } from "./idle_report.ts";
import { KeeperTerm } from "./keeper_term.ts";

const log = new Logger("silent", {});
const { maxHoldMs, stepMs } = KeeperTerm;
const longestLeaseMs = maxHoldMs * 1.02 + 250;
const confirmationMs = 8_000;
const lostWorker = "w" as NodeId;
const otherWorker = "v" as NodeId;

function predecessor(
  epoch: number,
  endedAtMs: number | undefined,
): Predecessor {
  return { epoch, node: "k" as NodeId, incarnation: "i", endedAtMs };
}

/** A store in which the first keeper has a run on a worker, until it ends. */
async function afterFirstTerm() {
  const [store, clock] = [new StoreModel(), new VirtualClock()];
  const first = await KeeperTerm.begin(store, clock, 1, predecessor(0, 0));
  first.report(lostWorker);
  await first.awaitStart(1_000);
  expect(first.starts()).to.eql([lostWorker]);
  first.report(lostWorker, true);
  await clock.advance(2_000);
  first.session.close();
  return { store, clock };
}

// Guards against a task that lasts and waits, after the loss of its keeper and
// of its worker, for the longest lease that the keeper could have renewed since.
describe("the run of a lost worker starts elsewhere under a new keeper", () => {
  const cases = [
    {
      name: "a lease after the old keeper's process has ended",
      isEnded: true,
      dueMs: longestLeaseMs,
    },
    {
      name: "a lease after the old keeper's confirmation if it may live",
      isEnded: false,
      dueMs: confirmationMs + longestLeaseMs,
    },
    {
      name: "a lease after a next process of its node is found to run",
      isEnded: false,
      process: { kind: "process", incarnation: "i2", ageMs: 0 } as const,
      dueMs: longestLeaseMs,
    },
    {
      name: "a lease after it is found to have yielded",
      isEnded: false,
      process: { kind: "process", incarnation: "i", ageMs: 90_000 } as const,
      dueMs: longestLeaseMs,
    },
    {
      name: "as if it may live if another entry answers",
      isEnded: false,
      process: { kind: "process", incarnation: "i2", ageMs: 0 } as const,
      from: "e",
      dueMs: confirmationMs + longestLeaseMs,
    },
  ];
  for (const { name, isEnded, process, from = "k", dueMs } of cases) {
    it(name, async () => {
      const { store, clock } = await afterFirstTerm();
      const endedAtMs = isEnded ? clock.nowMs() : undefined;
      const before = predecessor(1, endedAtMs);
      const term = await KeeperTerm.begin(store, clock, 2, before);
      if (process !== undefined) term.receive(from as NodeId, process);
      const waitedMs = await term.awaitStart(20_000, otherWorker);
      expect(waitedMs).to.be.within(dueMs, dueMs + 4 * stepMs);
      expect(term.starts()).to.eql([otherWorker]);
      term.session.close();
    });
  }
});

// Guards against a wait that begins anew with a report in which nothing is up.
describe("a lost worker whose sidecar reports to a new keeper", () => {
  it("is waited for no longer than without the report", async () => {
    const { store, clock } = await afterFirstTerm();
    const before = predecessor(1, clock.nowMs());
    const term = await KeeperTerm.begin(store, clock, 2, before);
    const reportedAfterMs = await term.awaitStart(3_000);
    const report = idleReport(lostWorker, { isUp: false });
    term.receive(lostWorker, { kind: "report", number: 1, report });
    const waitedMs = reportedAfterMs +
      await term.awaitStart(20_000, otherWorker);
    expect(waitedMs).to.be.within(longestLeaseMs, longestLeaseMs + 4 * stepMs);
    expect(term.starts()).to.eql([otherWorker]);
    term.session.close();
  });
});

// Guards against a wait for a lease that begins anew with each keeper.
describe("a keeper that follows one which waited for a lost worker's lease", () => {
  const waitedBeforeMs = 4_000;

  async function begin(isTold: boolean) {
    const { store, clock } = await afterFirstTerm();
    const before = predecessor(1, clock.nowMs());
    const second = await KeeperTerm.begin(store, clock, 2, before);
    await second.awaitStart(waitedBeforeMs);
    second.session.close();
    const epochBefore = isTold ? 2 : 3;
    return { store, clock, second, epochBefore };
  }

  it("waits for the rest of it", async () => {
    const { store, clock, epochBefore } = await begin(true);
    const before = predecessor(epochBefore, undefined);
    const third = await KeeperTerm.begin(store, clock, epochBefore + 1, before);
    const waitedMs = await third.awaitStart(20_000, otherWorker);
    const restMs = longestLeaseMs - waitedBeforeMs;
    expect(waitedMs).to.be.within(restMs, restMs + 1_300);
    third.session.close();
  });

  it("waits anew if an earlier build's keeper, which tells nothing, was between", async () => {
    const { store, clock, epochBefore } = await begin(false);
    const before = predecessor(epochBefore, undefined);
    const later = await KeeperTerm.begin(store, clock, epochBefore + 1, before);
    const waitedMs = await later.awaitStart(20_000, otherWorker);
    expect(waitedMs).to.be.at.least(confirmationMs + longestLeaseMs);
    later.session.close();
  });

  it("waits anew for a worker that was renewed in between", async () => {
    const { store, clock } = await afterFirstTerm();
    const before = predecessor(1, clock.nowMs());
    const second = await KeeperTerm.begin(store, clock, 2, before);
    await second.awaitStart(waitedBeforeMs);
    second.report(lostWorker, true);
    expect(second.renewals(), "told to be lost").to.eql([]);
    await second.awaitStart(500);
    second.report(lostWorker, true);
    expect(second.renewals()).to.eql([lostWorker]);
    second.session.close();
    const third = await KeeperTerm.begin(
      store,
      clock,
      3,
      predecessor(2, clock.nowMs()),
    );
    const waitedMs = await third.awaitStart(20_000, otherWorker);
    expect(waitedMs).to.be.at.least(longestLeaseMs);
    third.session.close();
  });

  it("renews no worker that a stored row calls lost while it cannot be replaced", async () => {
    const { store, clock } = await afterFirstTerm();
    const before = predecessor(1, clock.nowMs());
    const second = await KeeperTerm.begin(store, clock, 2, before);
    await second.awaitStart(waitedBeforeMs);
    store.isDown = true;
    for (let round = 0; round < 4; round++) {
      second.report(lostWorker, true);
      await clock.advance(450);
    }
    expect(second.renewals()).to.eql([]);
    second.session.close();
  });
});

describe("an elected keeper knows of the one before", () => {
  const self = { node: "a" as NodeId, incarnation: "2" };
  const won = { key: "cell", value: JSON.stringify(self) };
  const wonBy = (node: string, incarnation: string) => ({
    key: "cell",
    value: JSON.stringify({ node, incarnation }),
  });
  const unreadable = { key: "cell", value: "7" };
  const cases = [
    { name: "that there was none", rows: [won], epoch: 0, ended: "at 0" },
    {
      name: "that it was an earlier process of its node",
      rows: [wonBy("a", "1"), won],
      epoch: 1,
      ended: "at 0",
    },
    {
      name: "that it was itself",
      rows: [wonBy("a", "2"), won],
      epoch: 1,
      ended: "by now",
    },
    {
      name: "only who it was",
      rows: [wonBy("a", "1"), wonBy("b", "1"), won],
      epoch: 2,
      ended: "unknown",
    },
    {
      name: "nothing if a row between them cannot be read",
      rows: [wonBy("a", "1"), unreadable, won],
      epoch: undefined,
      ended: "unknown",
    },
    {
      name: "nothing if no row before can be read",
      rows: [unreadable, won],
      epoch: undefined,
      ended: "unknown",
    },
  ];
  for (const { name, rows, epoch, ended } of cases) {
    it(name, async () => {
      const store = new StoreModel();
      const election = new Election(store, self, log);
      await election.tail.refresh();
      for (const row of rows) {
        await store.append("epochs", [row], { kind: "none" });
        await election.tail.refresh();
      }
      expect(election.isWon).to.equal(true);
      const { predecessor: known } = election;
      expect(known?.epoch).to.equal(epoch);
      const endedAtMs = known?.endedAtMs;
      const by = endedAtMs === undefined
        ? "unknown"
        : endedAtMs === 0
        ? "at 0"
        : "by now";
      expect(by).to.equal(ended);
    });
  }
});
