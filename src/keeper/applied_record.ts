import type { CellRecord } from "../core/fold/cell_record.ts";
import type { Verdict } from "../core/fold/verdict.ts";

/** A record of a cell's stream, with the verdict of the fold. */
export interface AppliedRecord {
  readonly offset: number;
  readonly record: CellRecord;
  readonly verdict: Verdict;
}
