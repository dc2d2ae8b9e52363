import type { CellImage } from "./cell_image.ts";
import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import { restoreLedger } from "./restore_ledger.ts";

type SnapshotRecord = Extract<CellRecord, { kind: "snapshot" }>;

/** Collects snapshot parts and keeps the newest complete snapshot. */
export class SnapshotFinder {
  readonly #parts = new Map<string, Map<number, CellImage>>();
  #newest: { parts: CellImage[]; covers: number } | undefined;

  /** Adds a record that was read; only snapshot parts count. */
  addRecord(record: CellRecord): void {
    if (record.kind !== "snapshot") return;
    const parts = this.#parts.get(record.id) ?? new Map();
    parts.set(record.part, record.image);
    this.#parts.set(record.id, parts);
    if (parts.size === record.parts) this.#complete(record, parts);
  }

  /** Rebuilds the ledger from the newest complete snapshot, if there is one. */
  restoreNewest(): CellLedger | undefined {
    return this.#newest &&
      restoreLedger(this.#newest.parts, this.#newest.covers);
  }

  #complete(record: SnapshotRecord, parts: Map<number, CellImage>): void {
    this.#parts.delete(record.id);
    if (this.#newest !== undefined && this.#newest.covers >= record.covers) {
      return;
    }
    const ordered = [...parts].sort(([a], [b]) => a - b).map(([, p]) => p);
    this.#newest = { parts: ordered, covers: record.covers };
  }
}
