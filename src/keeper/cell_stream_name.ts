import type { CellId } from "../schema/cell_id.ts";

/** The name of a cell's stream in the log. */
export function cellStreamName(cell: CellId): string {
  return `cell-${cell}`;
}
