import type { Row } from "./row.ts";

/** A row read from a stream, with its offset. */
export interface StoredRow extends Row {
  readonly offset: number;
}
