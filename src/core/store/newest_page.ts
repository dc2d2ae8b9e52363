import type { StoredRow } from "./stored_row.ts";

/** Some of the newest rows of a stream; pages together are no snapshot. */
export interface NewestPage {
  readonly rows: readonly StoredRow[];
  readonly unreadable: number;
  readonly end: number;
  /** The key to go on from, where there are more. */
  readonly more: string | undefined;
}
