import type { StoredRow } from "./stored_row.ts";

/** Rows read from a stream, in the order of their offsets. */
export interface RowPage {
  readonly rows: readonly StoredRow[];
  /** How many records were skipped because they could not be decoded. */
  readonly unreadable: number;
  /** The offset at which the next read continues. */
  readonly next: number;
  /** The offset of the next append. */
  readonly end: number;
}
