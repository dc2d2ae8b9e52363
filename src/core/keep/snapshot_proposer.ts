import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { imageParts } from "../fold/image_parts.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import type { RecordHead } from "./record_head.ts";

/** Proposes snapshots of the ledger before the log drops older records. */
export class SnapshotProposer {
  /** The oldest offset that the log kept at the last read. */
  oldestOffset = 0;
  /** The offset up to which the newest snapshot covers the stream. */
  coveredOffset = 0;
  #snapshotAtMs: number;
  #snapshotCount = 0;

  constructor(readonly options: KeeperOptions, startedAtMs: number) {
    this.#snapshotAtMs = startedAtMs;
  }

  /** If a snapshot is due, yields it after records that drop old ended jobs. */
  *propose(
    ledger: CellLedger,
    head: RecordHead,
    nowMs: number,
  ): Generator<CellRecord> {
    if (!this.#isDue(ledger, nowMs)) return;
    yield* this.#forgetOldJobs(ledger, head);
    yield* this.#snapshot(ledger, head);
    this.coveredOffset = ledger.nextOffset;
    this.#snapshotAtMs = nowMs;
  }

  #isDue(ledger: CellLedger, nowMs: number): boolean {
    const { recordsPerSnapshot, snapshotEveryMs } = this.options;
    const records = ledger.nextOffset - this.coveredOffset;
    if (
      records >= recordsPerSnapshot || this.oldestOffset > this.coveredOffset
    ) {
      return true;
    }
    return records > 0 && nowMs - this.#snapshotAtMs >= snapshotEveryMs;
  }

  *#forgetOldJobs(ledger: CellLedger, head: RecordHead): Generator<CellRecord> {
    const ended = [...ledger.jobs.values()]
      .filter((row) => row.endedAtMs !== undefined)
      .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
    const excess = Math.max(0, ended.length - this.options.endedJobsKept);
    for (const row of ended.slice(0, excess)) {
      yield { ...head, kind: "forgotten", job: row.job.id };
    }
  }

  *#snapshot(ledger: CellLedger, head: RecordHead): Generator<CellRecord> {
    const covers = ledger.nextOffset;
    const { rowsPerSnapshotPart, self, incarnation } = this.options;
    const id = `${self}-${incarnation}-${this.#snapshotCount++}`;
    const images = [...imageParts(ledger, rowsPerSnapshotPart)];
    const parts = images.length;
    for (const [part, image] of images.entries()) {
      yield { ...head, kind: "snapshot", id, part, parts, covers, image };
    }
  }
}
