import { expect } from "chai";
import { LeaseAuthority } from "../src/core/lease/lease_authority.ts";
import { LeaseTable } from "../src/core/lease/lease_table.ts";
import { CandidatePledges } from "../src/core/keep/candidate_pledges.ts";
import type { PeerId } from "../src/schema/peer_id.ts";
import type { WorkerId } from "../src/schema/worker_id.ts";
import type { WorkerReport } from "../src/core/worker/worker_report.ts";

const options = {
  leaseMs: 6_000,
  freshMs: 2_000,
  pledgeMs: 3_000,
  marginMs: 500,
  driftRatio: 0.01,
};
const peers = ["p2", "p3"] as PeerId[];
const worker = "w1" as WorkerId;

function report(clockMs: number): WorkerReport {
  const capacity = { cpuMilli: 1, memoryBytes: 1, accelerators: 0 };
  return { worker, bootId: "b", clockMs, capacity, tasks: [], digest: "" };
}

describe("a keeper's lease authority", () => {
  const cases = [
    {
      name: "no read and no pledge",
      readAt: undefined,
      pledges: [],
      now: 0,
      holds: false,
    },
    { name: "a recent read", readAt: 0, pledges: [], now: 1_999, holds: true },
    {
      name: "an outdated read",
      readAt: 0,
      pledges: [],
      now: 2_000,
      holds: false,
    },
    {
      name: "all pledged",
      readAt: undefined,
      pledges: [0, 0],
      now: 2_000,
      holds: true,
    },
    {
      name: "one pledge missing",
      readAt: undefined,
      pledges: [0],
      now: 100,
      holds: false,
    },
    {
      name: "one outdated pledge",
      readAt: undefined,
      pledges: [0, 3_000],
      now: 3_000,
      holds: false,
    },
    {
      name: "an outdated read, but all pledged",
      readAt: 0,
      pledges: [8_000, 8_000],
      now: 9_000,
      holds: true,
    },
  ];
  for (const { name, readAt, pledges, now, holds } of cases) {
    it(`${name}: ${holds}`, () => {
      const authority = new LeaseAuthority(options);
      if (readAt !== undefined) authority.recordHeadRead(readAt);
      pledges.forEach((at, n) =>
        authority.recordPledge(peers[n] as PeerId, at)
      );
      expect(authority.holds(peers, now)).to.equal(holds);
    });
  }
});

describe("a keeper's lease table", () => {
  it("grants by the worker's clock and reclaims after the longest lease", () => {
    const book = new LeaseTable(options);
    book.reset(0);
    expect(book.grant(worker)).to.equal(undefined);
    book.recordReport(report(50_000), 1_000);
    expect(book.grant(worker)).to.equal(56_000);
    const cases: [number, boolean][] = [[7_000, false], [8_560, false], [
      8_561,
      true,
    ]];
    for (const [now, hasLapsed] of cases) {
      expect(book.hasLapsed(worker, now), String(now)).to.equal(hasLapsed);
    }
  });

  it("ignores a report that is older than the last", () => {
    const book = new LeaseTable(options);
    book.reset(0);
    book.recordReport(report(50_000), 20_000);
    book.grant(worker);
    book.recordReport(report(40_000), 21_000);
    expect(book.grant(worker)).to.equal(56_000);
    expect(book.hasLapsed(worker, 26_560)).to.equal(false);
    expect(book.hasLapsed(worker, 26_561)).to.equal(true);
  });

  it("waits out earlier keepers' leases for workers that never reported", () => {
    const book = new LeaseTable(options);
    book.reset(1_000);
    expect(book.hasLapsed(worker, 9_560)).to.equal(false);
    expect(book.hasLapsed(worker, 9_561)).to.equal(true);
  });
});

describe("a candidate's pledges", () => {
  const cases = [
    {
      name: "the first epoch after a start",
      epochs: [4],
      campaigned: undefined,
      pledgeMs: 0,
    },
    {
      name: "the next epoch",
      epochs: [4, 5],
      campaigned: undefined,
      pledgeMs: 3_000,
    },
    {
      name: "an epoch that it campaigned to replace",
      epochs: [4, 5],
      campaigned: 5,
      pledgeMs: 0,
    },
    {
      name: "an epoch after its campaign",
      epochs: [4, 6],
      campaigned: 5,
      pledgeMs: 3_000,
    },
  ];
  for (const { name, epochs, campaigned, pledgeMs } of cases) {
    it(`${name}: ${pledgeMs}`, () => {
      const book = new CandidatePledges(options, 0);
      if (campaigned !== undefined) book.recordCampaign(campaigned);
      const pledges = epochs.map((epoch) =>
        book.handleKeepAlive(epoch, false, 10_000)
      );
      expect(pledges.at(-1)).to.equal(pledgeMs);
    });
  }

  it("stops when only this process reaches the log", () => {
    const book = new CandidatePledges(options, 0);
    book.handleKeepAlive(1, false, 5_000);
    expect(book.handleKeepAlive(2, true, 6_000)).to.equal(3_000);
    expect(book.shouldProbeLog).to.equal(true);
    book.recordLogReached();
    expect(book.handleKeepAlive(2, true, 7_000)).to.equal(0);
    expect(book.isActive(9_000)).to.equal(true);
    expect(book.mayCampaign(3_000, 9_001)).to.equal(true);
    expect(book.handleKeepAlive(2, false, 9_500)).to.equal(3_000);
  });

  it("lasts for its full length, also after a start", () => {
    const book = new CandidatePledges(options, 0);
    expect(book.isActive(3_000)).to.equal(true);
    expect(book.isActive(3_001)).to.equal(false);
    book.handleKeepAlive(1, false, 5_000);
    book.handleKeepAlive(2, false, 6_000);
    expect(book.isActive(9_000)).to.equal(true);
    expect(book.mayCampaign(100, 9_000)).to.equal(false);
    expect(book.mayCampaign(100, 9_001)).to.equal(true);
  });
});
