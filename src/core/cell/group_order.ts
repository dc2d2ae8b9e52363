import type { Cell } from "./cell.ts";
import type { Urgency } from "./urgency.ts";

/** Decides which of the waiting groups are placed first. */
export interface GroupOrder {
  /** Returns the groups, the first to be placed first. */
  sort(
    waiting: Urgency[],
    cell: Cell,
    nowMs: number,
    wallMs: number,
  ): readonly Urgency[];
}
