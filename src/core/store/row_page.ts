import type { StoredRow } from "./stored_row.ts";

/** Rows read from a stream in the order of their offsets. */
export interface RowPage {
  readonly rows: readonly StoredRow[];
  /** How many records were passed over because they could not be read. */
  readonly unreadable: number;
  /** Where the next read goes on. */
  readonly next: number;
  /** The offset that the next append gets. */
  readonly end: number;
}
