import { expect } from "chai";
import fc from "fast-check";
import { applyRecord } from "../src/core/fold/apply_record.ts";
import { CellLedger } from "../src/core/fold/cell_ledger.ts";
import type { CellRecord } from "../src/core/fold/cell_record.ts";
import { imageParts } from "../src/core/fold/image_parts.ts";
import { restoreLedger } from "../src/core/fold/restore_ledger.ts";
import { SnapshotFinder } from "../src/core/fold/snapshot_finder.ts";
import { recordBuilders as r } from "./record_builders.ts";

const jobs = ["a", "b", "c"];
const task = fc.constantFrom(...jobs.map((job) => `${job}/0`));
const attempt = fc.integer({ min: 1, max: 3 });
const worker = fc.constantFrom("w1", "w2");

const anyRecord: fc.Arbitrary<CellRecord> = fc.oneof(
  fc.constantFrom(...jobs).map((job) => r.submitted(job, { tasks: 2 })),
  fc.tuple(task, attempt, worker).map(([t, n, w]) => r.claimed(t, n, w)),
  fc.tuple(task, attempt).map(([t, n]) => r.released(t, n, "urgent_work")),
  fc.tuple(task, attempt).map(([t, n]) => r.reclaimed(t, n)),
  fc.tuple(task, attempt).map(([t, n]) => r.failed(t, n)),
  fc.tuple(task, attempt).map(([t, n]) => r.finished(t, n)),
  fc.constantFrom(...jobs).map((job) => r.cancelled(job)),
  worker.map((id) => r.worker(id, 2)),
);

const start = [r.epoch(1, "p1", ["p1"]), r.worker("w1", 2)];

function fold(ledger: CellLedger, records: readonly CellRecord[]): CellLedger {
  for (const record of records) applyRecord(ledger, record);
  return ledger;
}

function describeLedger(ledger: CellLedger): string {
  const sorted = <K, V>(map: Map<K, V>): unknown[] =>
    [...map].map(([key, value]) => [key, value]).sort();
  const workers = [...ledger.workers.values()]
    .map((row) => ({ ...row, tasks: [...row.tasks].sort() }));
  return JSON.stringify([
    ledger.nextOffset,
    ledger.epoch,
    workers,
    sorted(ledger.jobs),
    sorted(ledger.tasks),
    sorted(ledger.accounts),
    [...ledger.waiting].sort(),
    sorted(ledger.reservedByMember).filter((row) =>
      JSON.stringify(row).includes("000")
    ),
  ]);
}

describe("a snapshot", () => {
  it("restores the same ledger as the records that it covers", () => {
    const history = fc.array(anyRecord, { maxLength: 60 });
    const property = fc.property(
      history,
      fc.nat(60),
      fc.integer({ min: 1, max: 5 }),
      (records, cut, rowsPerPart) => {
        const all = [...start, ...records];
        const at = Math.min(all.length, start.length + cut);
        const folded = fold(new CellLedger(), all);
        const before = fold(new CellLedger(), all.slice(0, at));
        const images = [...imageParts(before, rowsPerPart)]
          .map((image) => JSON.parse(JSON.stringify(image)));
        const restored = fold(restoreLedger(images, at), all.slice(at));
        expect(describeLedger(restored)).to.equal(describeLedger(folded));
      },
    );
    fc.assert(property, { seed: 1, numRuns: 400 });
  });

  it("is loaded only when complete, the newest first", () => {
    const ledger = fold(new CellLedger(), [...start, r.submitted("a")]);
    const [image] = [...imageParts(ledger, 100)];
    const part = (
      id: string,
      n: number,
      parts: number,
      covers: number,
    ): CellRecord =>
      ({
        kind: "snapshot",
        id,
        part: n,
        parts,
        covers,
        image,
        by: "p1",
        epoch: 1,
        atMs: 0,
      }) as CellRecord;
    const cases: [CellRecord[], number | undefined][] = [
      [[], undefined],
      [[part("s", 0, 2, 3)], undefined],
      [[part("s", 0, 2, 3), part("s", 0, 2, 3)], undefined],
      [[part("s", 1, 2, 3), part("s", 0, 2, 3)], 3],
      [[part("s", 0, 1, 3), part("t", 0, 1, 9)], 9],
      [[part("t", 0, 1, 9), part("s", 0, 1, 3)], 9],
      [[part("s", 0, 1, 3), part("t", 0, 2, 9)], 3],
    ];
    for (const [seen, covers] of cases) {
      const finder = new SnapshotFinder();
      for (const record of seen) finder.addRecord(record);
      expect(finder.restoreNewest()?.nextOffset).to.equal(covers);
    }
  });
});
