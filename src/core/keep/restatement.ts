import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { imageParts } from "../fold/image_parts.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import type { RecordHead } from "./record_head.ts";

/** Restates the ledger before the records that it rests on age out. */
export class Restatement {
  /** The oldest offset that the log kept at the last read. */
  oldest = 0;
  /** Up to where the newest snapshot covers the stream. */
  covered = 0;
  #restatedAtMs: number;
  #count = 0;

  constructor(readonly options: KeeperOptions, startedAtMs: number) {
    this.#restatedAtMs = startedAtMs;
  }

  /** Yields a snapshot and what may be forgotten, when it is time. */
  *propose(
    ledger: CellLedger,
    head: RecordHead,
    nowMs: number,
  ): Generator<CellRecord> {
    if (!this.#isDue(ledger, nowMs)) return;
    yield* this.#forget(ledger, head);
    yield* this.#snapshot(ledger, head);
    this.covered = ledger.next;
    this.#restatedAtMs = nowMs;
  }

  #isDue(ledger: CellLedger, nowMs: number): boolean {
    const { recordsPerSnapshot, snapshotEveryMs } = this.options;
    const records = ledger.next - this.covered;
    if (records >= recordsPerSnapshot || this.oldest > this.covered) {
      return true;
    }
    return records > 0 && nowMs - this.#restatedAtMs >= snapshotEveryMs;
  }

  *#forget(ledger: CellLedger, head: RecordHead): Generator<CellRecord> {
    const ended = [...ledger.jobs.values()]
      .filter((row) => row.endedAtMs !== undefined)
      .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
    const excess = Math.max(0, ended.length - this.options.endedJobsKept);
    for (const row of ended.slice(0, excess)) {
      yield { ...head, kind: "forgotten", job: row.job.id };
    }
  }

  *#snapshot(ledger: CellLedger, head: RecordHead): Generator<CellRecord> {
    const covers = ledger.next;
    const { rowsPerSnapshotPart, self, incarnation } = this.options;
    const id = `${self}-${incarnation}-${this.#count++}`;
    const images = [...imageParts(ledger, rowsPerSnapshotPart)];
    const parts = images.length;
    for (const [part, image] of images.entries()) {
      yield { ...head, kind: "snapshot", id, part, parts, covers, image };
    }
  }
}
