import type { StoredRow } from "./stored_row.ts";

/**
 * A page of the newest row of each key of a stream. Pages read in turn do not
 * form a snapshot.
 */
export interface NewestPage {
  readonly rows: readonly StoredRow[];
  /** How many records were skipped because they could not be decoded. */
  readonly unreadable: number;
  /** The offset of the next append. */
  readonly end: number;
  /** The key to continue after; undefined on the last page. */
  readonly more: string | undefined;
}
