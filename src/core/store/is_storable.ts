import type { Row } from "./row.ts";
import { rowBytes } from "./row_bytes.ts";
import type { StoreLimits } from "./store_limits.ts";

/** UTF-8 takes at most this many bytes for a unit of a text's length. */
const maxBytesPerUnit = 3;

/** Whether a store can hold a row; most rows need not be encoded to tell. */
export function isStorable(row: Row, { recordBytes }: StoreLimits): boolean {
  const units = 1 + row.key.length + (row.value?.length ?? 0);
  if (units * maxBytesPerUnit <= recordBytes) return true;
  return rowBytes(row) <= recordBytes;
}
