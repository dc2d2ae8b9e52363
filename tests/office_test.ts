import { expect } from "chai";
import { applyRecord } from "../src/core/fold/apply_record.ts";
import { CellLedger } from "../src/core/fold/cell_ledger.ts";
import { CellOffice } from "../src/core/keep/cell_office.ts";
import { defaultKeeperOptions } from "../src/core/keep/default_keeper_options.ts";
import type { KeeperEffect } from "../src/core/keep/keeper_effect.ts";
import { FirstFit } from "../src/core/place/first_fit.ts";
import { digestOf } from "../src/core/worker/digest_of.ts";
import type { TaskReport } from "../src/core/worker/task_report.ts";
import type { CellId } from "../src/schema/cell_id.ts";
import type { PeerId } from "../src/schema/peer_id.ts";
import type { WorkerId } from "../src/schema/worker_id.ts";
import { records as r } from "./ledger_builder.ts";

const self = "p1" as PeerId;
const worker = "w1" as WorkerId;
const head = { atMs: 0, by: self, epoch: 1 };
const options = {
  ...defaultKeeperOptions,
  self,
  incarnation: "p1-1",
  cell: "c" as CellId,
};

function opsOf(effects: Iterable<KeeperEffect>): string[] {
  return [...effects].flatMap((effect) =>
    effect.kind === "apply" ? effect.order?.ops.map(({ op }) => op) ?? [] : []
  );
}

function setUp(): { ledger: CellLedger; office: CellOffice } {
  const ledger = new CellLedger();
  const start = [
    r.epoch(1, "p1", ["p1"]),
    r.worker("w1", 2),
    r.submitted("a"),
    r.claimed("a/0", 1, "w1"),
  ];
  for (const record of start) applyRecord(ledger, record);
  const office = new CellOffice(options, new FirstFit());
  office.workers = [worker];
  office.begin(0);
  return { ledger, office };
}

function hear(
  { ledger, office }: ReturnType<typeof setUp>,
  clockMs: number,
  nowMs: number,
  tasks: TaskReport[] = [],
): void {
  const capacity = { cpuMilli: 2_000, memoryBytes: 100, accelerators: 0 };
  const digest = digestOf(tasks);
  const report = { worker, bootId: "b1", clockMs, capacity, tasks, digest };
  office.takeReport(ledger, { report, labels: { rack: "r1" } }, nowMs);
}

describe("a keeper in office", () => {
  it("starts a claimed task, then renews it", () => {
    const both = setUp();
    hear(both, 100, 100);
    expect(opsOf(both.office.sync(both.ledger, true, 100))).to.eql(["start"]);
    const task = { task: "a/0", attempt: 1, state: "running" } as TaskReport;
    hear(both, 1_200, 1_200, [task]);
    const effects = [...both.office.sync(both.ledger, true, 1_200)];
    const order = effects[0]?.kind === "apply" ? effects[0].order : undefined;
    expect(order?.ops).to.eql([]);
    expect(order?.renewDigest).to.equal(digestOf([task]));
    expect(order?.knownDigest).to.equal(digestOf([task]));
  });

  it("takes a short answer only for what it knows", () => {
    const both = setUp();
    const task = { task: "a/0", attempt: 1, state: "running" } as TaskReport;
    hear(both, 100, 100, [task]);
    const short = (digest: string): void => {
      const report = { worker, bootId: "b1", clockMs: 3_000, digest };
      both.office.takeReport(both.ledger, { report, labels: {} }, 3_000);
    };
    short("other");
    const cases: [number, number][] = [[3_000, 6_100], [3_000, 9_000]];
    const until = (nowMs: number): number | undefined => {
      const [effect] = both.office.sync(both.ledger, true, nowMs);
      return effect?.kind === "apply" ? effect.order?.validUntilMs : undefined;
    };
    expect(until(cases[0]?.[0] ?? 0)).to.equal(cases[0]?.[1]);
    short(digestOf([task]));
    both.office.missed(worker);
    expect(until(4_100)).to.equal(cases[1]?.[1]);
  });

  it("grants nothing without authority", () => {
    const both = setUp();
    hear(both, 100, 100);
    expect(opsOf(both.office.sync(both.ledger, false, 100))).to.eql([]);
  });

  it("gives no lease to an attempt whose reclaim is under way", () => {
    const both = setUp();
    const { ledger, office } = both;
    hear(both, 100, 100);
    office.missed(worker);
    const proposed = [...office.propose(ledger, true, head, 20_000)];
    expect(proposed.map(({ kind }) => kind)).to.eql(["reclaimed"]);
    expect(opsOf(office.sync(ledger, true, 20_000))).to.eql(["stop"]);
    hear(both, 20_100, 20_100);
    expect(opsOf(office.sync(ledger, true, 21_200))).to.eql(["stop"]);
    const again = [...office.propose(ledger, true, head, 21_200)];
    expect(again.map(({ kind }) => kind)).to.eql(["reclaimed"]);
  });
});
