import type { Row } from "./row.ts";
import { rowBytes } from "./row_bytes.ts";
import type { StoreLimits } from "./store_limits.ts";

/** Whether a store can hold a row. */
export function isStorable(row: Row, { recordBytes }: StoreLimits): boolean {
  return rowBytes(row) <= recordBytes;
}
