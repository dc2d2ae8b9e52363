import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import type { Verdict } from "./verdict.ts";

/** Validates one kind of record and applies it if it is valid. */
export type RecordHandler<K extends CellRecord["kind"]> = (
  ledger: CellLedger,
  record: Extract<CellRecord, { kind: K }>,
) => Verdict;
