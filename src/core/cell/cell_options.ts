import type { placeWaitingTasks } from "./place_waiting_tasks.ts";
import type { UnevenLoad } from "./uneven_load.ts";

/** How a cell decides about runs that take long, and places tasks. */
export interface CellOptions extends Partial<UnevenLoad> {
  /** A run without progress for this many times its expected time is stuck. */
  readonly stuckFactor: number;
  /** The shortest time without progress before a run counts as stuck. */
  readonly stuckMinMs: number;
  /** The most bytes of a row that the cell has saved; no limit if undefined. */
  readonly maxRowBytes?: number | undefined;
  /** Replaces the placement of waiting tasks, in tests. */
  readonly place?: typeof placeWaitingTasks | undefined;
}
