import type { WaitingRow } from "./waiting_row.ts";

/** The first rows that fit in one append, at least one. */
export function nextBatch(
  rows: readonly WaitingRow[],
  maxBytes: number,
): readonly WaitingRow[] {
  let bytes = 0;
  const end = rows.findIndex((row) => (bytes += row.bytes) > maxBytes);
  return end < 0 ? rows : rows.slice(0, Math.max(1, end));
}
