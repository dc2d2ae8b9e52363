import { expect } from "chai";
import { applyRecord } from "../src/core/fold/apply_record.ts";
import { CellLedger } from "../src/core/fold/cell_ledger.ts";
import type { CellRecord } from "../src/core/fold/cell_record.ts";
import type { VoidReason } from "../src/core/fold/void_reason.ts";
import { recordBuilders as r } from "./record_builders.ts";

interface Case {
  readonly name: string;
  readonly records: readonly CellRecord[];
  /** The verdict on the last record. */
  readonly last: "accepted" | VoidReason;
  readonly state?: string;
}

const start = [r.epoch(1, "p1", ["p1", "p2"]), r.worker("w1", 2)];
const submitted = [...start, r.submitted("a")];
const claimed = [...submitted, r.claimed("a/0", 1, "w1")];
const released = [...claimed, r.released("a/0", 1, "urgent_work")];

const cases: readonly Case[] = [
  {
    name: "the first epoch",
    records: [r.epoch(1, "p1", ["p1"])],
    last: "accepted",
  },
  {
    name: "an epoch that skips a number",
    records: [r.epoch(2, "p1", ["p1"])],
    last: "stale_epoch",
  },
  {
    name: "a second record for the same epoch",
    records: [...start, r.epoch(1, "p2", ["p2"])],
    last: "stale_epoch",
  },
  {
    name: "the next epoch from a candidate",
    records: [...start, r.epoch(2, "p2", ["p2"])],
    last: "accepted",
  },
  {
    name: "the next epoch from a peer that is not a candidate",
    records: [...start, r.epoch(2, "p9", ["p9"])],
    last: "not_candidate",
  },
  {
    name: "a claim by a deposed keeper",
    records: [
      ...submitted,
      r.epoch(2, "p2", ["p2"]),
      r.claimed("a/0", 1, "w1"),
    ],
    last: "stale_epoch",
  },
  {
    name: "a claim by another peer in this epoch",
    records: [...submitted, r.claimed("a/0", 1, "w1", 1, "p2")],
    last: "stale_epoch",
  },
  { name: "a claim", records: claimed, last: "accepted", state: "claimed" },
  {
    name: "a repeated claim",
    records: [...claimed, r.claimed("a/0", 1, "w1")],
    last: "not_allowed_now",
  },
  {
    name: "a claim of a running task",
    records: [...claimed, r.claimed("a/0", 2, "w1")],
    last: "not_allowed_now",
  },
  {
    name: "a claim that skips an attempt",
    records: [...submitted, r.claimed("a/0", 2, "w1")],
    last: "wrong_attempt",
  },
  {
    name: "a claim over capacity",
    records: [...submitted, r.claimed("a/0", 1, "w1", 3)],
    last: "over_capacity",
  },
  {
    name: "claims that together exceed capacity",
    records: [...claimed, r.submitted("b"), r.claimed("b/0", 1, "w1", 2)],
    last: "over_capacity",
  },
  {
    name: "a claim on an unknown worker",
    records: [...submitted, r.claimed("a/0", 1, "w9")],
    last: "unknown_worker",
  },
  {
    name: "a claim of an unknown task",
    records: [...start, r.claimed("z/0", 1, "w1")],
    last: "unknown_task",
  },
  {
    name: "a claim on a worker that the job does not select",
    records: [
      ...start,
      r.submitted("a", { workers: [{ label: "rack", in: ["r2"] }] }),
      r.claimed("a/0", 1, "w1"),
    ],
    last: "not_selected",
  },
  {
    name: "a claim after the term",
    records: [
      ...start,
      r.submitted("a", { endsAtMs: 5_000 }),
      r.claimed("a/0", 1, "w1"),
    ],
    last: "term_over",
  },
  {
    name: "a repeated job id",
    records: [...submitted, r.submitted("a")],
    last: "duplicate",
  },
  {
    name: "a job after the term",
    records: [...start, r.submitted("a", { endsAtMs: 0 })],
    last: "term_over",
  },
  { name: "a release", records: released, last: "accepted", state: "waiting" },
  {
    name: "a repeated release",
    records: [...released, r.released("a/0", 1, "urgent_work")],
    last: "not_allowed_now",
  },
  {
    name: "a late release of an old attempt",
    records: [
      ...released,
      r.claimed("a/0", 2, "w1"),
      r.released("a/0", 1, "urgent_work"),
    ],
    last: "wrong_attempt",
  },
  {
    name: "a reclaim",
    records: [...claimed, r.reclaimed("a/0", 1)],
    last: "accepted",
    state: "waiting",
  },
  {
    name: "a finish",
    records: [...claimed, r.finished("a/0", 1)],
    last: "accepted",
    state: "finished",
  },
  {
    name: "a repeated finish",
    records: [...claimed, r.finished("a/0", 1), r.finished("a/0", 1)],
    last: "not_allowed_now",
  },
  {
    name: "a late finish of a reclaimed attempt",
    records: [...claimed, r.reclaimed("a/0", 1), r.finished("a/0", 1)],
    last: "accepted",
    state: "finished",
  },
  {
    name: "a late finish after a new attempt",
    records: [
      ...claimed,
      r.reclaimed("a/0", 1),
      r.claimed("a/0", 2, "w1"),
      r.finished("a/0", 1),
    ],
    last: "wrong_attempt",
    state: "claimed",
  },
  {
    name: "a finish before the first attempt",
    records: [...submitted, r.finished("a/0", 0)],
    last: "wrong_attempt",
  },
  {
    name: "a failure below the limit",
    records: [...claimed, r.failed("a/0", 1)],
    last: "accepted",
    state: "waiting",
  },
  {
    name: "a failure at the limit",
    records: [
      ...claimed,
      r.failed("a/0", 1),
      r.claimed("a/0", 2, "w1"),
      r.failed("a/0", 2),
    ],
    last: "accepted",
    state: "failed",
  },
  {
    name: "a cancel of a waiting job",
    records: [...submitted, r.cancelled("a")],
    last: "accepted",
    state: "cancelled",
  },
  {
    name: "a cancel of a running job",
    records: [...claimed, r.cancelled("a")],
    last: "accepted",
    state: "cancelling",
  },
  {
    name: "the end of a cancelled job",
    records: [...claimed, r.cancelled("a"), r.released("a/0", 1, "cancelled")],
    last: "accepted",
    state: "cancelled",
  },
  {
    name: "a repeated cancel",
    records: [...submitted, r.cancelled("a"), r.cancelled("a")],
    last: "duplicate",
  },
  {
    name: "a cancel of an unknown job",
    records: [...start, r.cancelled("a")],
    last: "unknown_job",
  },
  {
    name: "a worker whose capacity falls below its reservations",
    records: [...claimed, r.worker("w1", 0)],
    last: "over_capacity",
  },
  {
    name: "a worker that restarts with tasks",
    records: [...claimed, r.worker("w1", 2, "b2")],
    last: "worker_in_use",
  },
  {
    name: "the removal of a worker with tasks",
    records: [...claimed, r.workerGone("w1")],
    last: "worker_in_use",
  },
  {
    name: "the removal of an empty worker",
    records: [...start, r.workerGone("w1")],
    last: "accepted",
  },
  {
    name: "a move of a job that never ran",
    records: [...submitted, r.moved("a")],
    last: "accepted",
  },
  {
    name: "a move of a job that has run",
    records: [...released, r.moved("a")],
    last: "not_allowed_now",
  },
  {
    name: "a claim after a move",
    records: [...submitted, r.moved("a"), r.claimed("a/0", 1, "w1")],
    last: "unknown_task",
  },
  {
    name: "the arrival of a moved job",
    records: [...submitted, r.moved("a"), r.arrived("a")],
    last: "accepted",
  },
  {
    name: "the arrival of a job that was not moved",
    records: [...submitted, r.arrived("a")],
    last: "unknown_job",
  },
  {
    name: "forgetting an unfinished job",
    records: [...submitted, r.forgotten("a")],
    last: "not_allowed_now",
  },
  {
    name: "forgetting an ended job",
    records: [...claimed, r.finished("a/0", 1), r.forgotten("a")],
    last: "accepted",
  },
];

describe("the fold", () => {
  for (const { name, records, last, state } of cases) {
    it(`handles ${name}: ${last}`, () => {
      const ledger = new CellLedger();
      let outcome = "";
      for (const record of records) {
        const verdict = applyRecord(ledger, record);
        outcome = verdict.accepted ? "accepted" : verdict.reason;
      }
      expect(outcome).to.equal(last);
      expect(ledger.nextOffset).to.equal(records.length);
      if (state !== undefined) {
        expect(ledger.tasks.get("a/0" as never)?.state).to.equal(state);
      }
    });
  }

  it("charges accounts by the second", () => {
    const ledger = new CellLedger();
    for (const record of [...claimed, r.finished("a/0", 1)]) {
      applyRecord(ledger, record);
    }
    const [account] = ledger.accounts.values();
    expect(account?.cpuMilliSeconds).to.equal(10_000);
    expect(account?.finishedTasks).to.equal(1);
  });
});
