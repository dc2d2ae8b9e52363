import type { Row } from "./row.ts";

/** A row as it was read, with its place in the stream. */
export interface StoredRow extends Row {
  readonly offset: number;
}
