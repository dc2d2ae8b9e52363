import type { PeerTable } from "../core/members/peer_table.ts";
import type { CellId } from "../schema/cell_id.ts";

/** Returns the better of two cells drawn at random, by free CPU and queue. */
export function chooseCell(
  members: PeerTable,
  random: () => number,
): CellId | undefined {
  const cells = members.cells();
  const drawCell = (): CellId | undefined =>
    cells[Math.floor(random() * cells.length)];
  const a = drawCell();
  const b = drawCell();
  if (a === undefined || b === undefined) return undefined;
  return cellScore(members, a) >= cellScore(members, b) ? a : b;
}

/** A cell without a known keeper scores lowest. */
function cellScore(members: PeerTable, cell: CellId): number {
  const keeper = members.keeperOf(cell)?.keeper;
  if (keeper === undefined) return -Infinity;
  return keeper.freeCpuMilli / (1 + keeper.waitingTasks);
}
