import type { Cell } from "./cell.ts";
import type { Urgency } from "./urgency.ts";

/** Decides which of the waiting groups are placed first. */
export interface GroupOrder {
  /** Whether the order depends on groups that no worker can take now, too. */
  readonly comparesAll: boolean;
  /** Returns the groups, the first to be placed first. */
  sort(
    waiting: Urgency[],
    cell: Cell,
    nowMs: number,
    wallMs: number,
  ): readonly Urgency[];
}
