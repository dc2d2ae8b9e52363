import type { CellRecord } from "../core/fold/cell_record.ts";
import type { Verdict } from "../core/fold/verdict.ts";

/** One record of a cell's stream with the fold's verdict on it. */
export interface JudgedRecord {
  readonly offset: number;
  readonly record: CellRecord;
  readonly verdict: Verdict;
}
