import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import type { Verdict } from "./verdict.ts";

/** Judges one kind of record and applies it where it is accepted. */
export type Judge<K extends CellRecord["kind"]> = (
  ledger: CellLedger,
  record: Extract<CellRecord, { kind: K }>,
) => Verdict;
