import { expect } from "chai";
import { applyRecord } from "../src/core/fold/apply_record.ts";
import { CellLedger } from "../src/core/fold/cell_ledger.ts";
import { WorkerCoordinator } from "../src/core/keep/worker_coordinator.ts";
import { defaultKeeperOptions } from "../src/core/keep/default_keeper_options.ts";
import type { KeeperEffect } from "../src/core/keep/keeper_effect.ts";
import { FirstFit } from "../src/core/place/first_fit.ts";
import { digestTasks } from "../src/core/worker/digest_tasks.ts";
import type { TaskReport } from "../src/core/worker/task_report.ts";
import type { CellId } from "../src/schema/cell_id.ts";
import type { PeerId } from "../src/schema/peer_id.ts";
import type { WorkerId } from "../src/schema/worker_id.ts";
import { recordBuilders as r } from "./record_builders.ts";

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
    effect.kind === "apply" ? effect.command?.ops.map(({ op }) => op) ?? [] : []
  );
}

function setUp(): { ledger: CellLedger; coordinator: WorkerCoordinator } {
  const ledger = new CellLedger();
  const start = [
    r.epoch(1, "p1", ["p1"]),
    r.worker("w1", 2),
    r.submitted("a"),
    r.claimed("a/0", 1, "w1"),
  ];
  for (const record of start) applyRecord(ledger, record);
  const coordinator = new WorkerCoordinator(options, new FirstFit());
  coordinator.workers = [worker];
  coordinator.beginEpoch(0);
  return { ledger, coordinator };
}

function deliverReport(
  { ledger, coordinator }: ReturnType<typeof setUp>,
  clockMs: number,
  nowMs: number,
  tasks: TaskReport[] = [],
): void {
  const capacity = { cpuMilli: 2_000, memoryBytes: 100, accelerators: 0 };
  const digest = digestTasks(tasks);
  const report = { worker, bootId: "b1", clockMs, capacity, tasks, digest };
  coordinator.handleReport(ledger, { report, labels: { rack: "r1" } }, nowMs);
}

describe("a keeper's worker coordinator", () => {
  it("starts a claimed task, then renews it", () => {
    const setup = setUp();
    deliverReport(setup, 100, 100);
    expect(opsOf(setup.coordinator.sync(setup.ledger, true, 100))).to.eql([
      "start",
    ]);
    const task = { task: "a/0", attempt: 1, state: "running" } as TaskReport;
    deliverReport(setup, 1_200, 1_200, [task]);
    const effects = [...setup.coordinator.sync(setup.ledger, true, 1_200)];
    const command = effects[0]?.kind === "apply"
      ? effects[0].command
      : undefined;
    expect(command?.ops).to.eql([]);
    expect(command?.renewDigest).to.equal(digestTasks([task]));
    expect(command?.knownDigest).to.equal(digestTasks([task]));
  });

  it("accepts a partial report only if its digest is known", () => {
    const setup = setUp();
    const task = { task: "a/0", attempt: 1, state: "running" } as TaskReport;
    deliverReport(setup, 100, 100, [task]);
    const deliverPartial = (digest: string): void => {
      const report = { worker, bootId: "b1", clockMs: 3_000, digest };
      setup.coordinator.handleReport(
        setup.ledger,
        { report, labels: {} },
        3_000,
      );
    };
    deliverPartial("other");
    const cases: [number, number][] = [[3_000, 6_100], [3_000, 9_000]];
    const leaseEnd = (nowMs: number): number | undefined => {
      const [effect] = setup.coordinator.sync(setup.ledger, true, nowMs);
      return effect?.kind === "apply"
        ? effect.command?.validUntilMs
        : undefined;
    };
    expect(leaseEnd(cases[0]?.[0] ?? 0)).to.equal(cases[0]?.[1]);
    deliverPartial(digestTasks([task]));
    setup.coordinator.handleUnreachable(worker);
    expect(leaseEnd(4_100)).to.equal(cases[1]?.[1]);
  });

  it("grants no lease without authority", () => {
    const setup = setUp();
    deliverReport(setup, 100, 100);
    expect(opsOf(setup.coordinator.sync(setup.ledger, false, 100))).to.eql([]);
  });

  it("grants no lease to an attempt that is being reclaimed", () => {
    const setup = setUp();
    const { ledger, coordinator } = setup;
    deliverReport(setup, 100, 100);
    coordinator.handleUnreachable(worker);
    const proposed = [...coordinator.propose(ledger, true, head, 20_000)];
    expect(proposed.map(({ kind }) => kind)).to.eql(["reclaimed"]);
    expect(opsOf(coordinator.sync(ledger, true, 20_000))).to.eql(["stop"]);
    deliverReport(setup, 20_100, 20_100);
    expect(opsOf(coordinator.sync(ledger, true, 21_200))).to.eql(["stop"]);
    const repeated = [...coordinator.propose(ledger, true, head, 21_200)];
    expect(repeated.map(({ kind }) => kind)).to.eql(["reclaimed"]);
  });
});
