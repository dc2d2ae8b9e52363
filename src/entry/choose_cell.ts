import type { Members } from "../core/members/members.ts";
import type { CellId } from "../schema/cell_id.ts";

/** Takes the better of two sampled cells by free processors and queue. */
export function chooseCell(
  members: Members,
  random: () => number,
): CellId | undefined {
  const cells = members.cells();
  const draw = (): CellId | undefined =>
    cells[Math.floor(random() * cells.length)];
  const a = draw();
  const b = draw();
  if (a === undefined || b === undefined) return undefined;
  return scoreOf(members, a) >= scoreOf(members, b) ? a : b;
}

function scoreOf(members: Members, cell: CellId): number {
  const keeper = members.keeperOf(cell)?.keeper;
  if (keeper === undefined) return -Infinity;
  return keeper.freeCpuMilli / (1 + keeper.waitingTasks);
}
