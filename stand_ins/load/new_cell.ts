import { Cell } from "../../src/core/cell/cell.ts";
import { ContentionOrder } from "../../src/core/queueing/contention_order.ts";
import type { LoadOptions } from "./load_options.ts";

const maxAttempts = 4;

/** Creates a cell with the queues of a load. */
export function newCell(
  { cell: change, sharesFairly, uneven }: LoadOptions,
): Cell {
  const cell = new Cell({ stuckFactor: 0.5, stuckMinMs: 1_800, ...change });
  if (sharesFairly) cell.order = new ContentionOrder();
  const kinds = [
    { name: "service", priority: 0, stretch: 2.2, targetMs: 2_500 },
    { name: "check", priority: 0, stretch: 1.5, targetMs: 250 },
    { name: "plan", priority: 2, stretch: 2, targetMs: 1_000 },
  ];
  for (const kind of kinds) {
    cell.queues.set(kind.name, {
      ...kind,
      pool: "pool",
      maxAttempts: uneven?.maxAttempts ?? maxAttempts,
      advice: undefined,
    });
  }
  return cell;
}
