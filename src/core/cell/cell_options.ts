import type { placeWaitingTasks } from "./place_waiting_tasks.ts";

/** When a cell counts a run as stuck, and how it places tasks. */
export interface CellOptions {
  /** A run without progress for this many times its expected time is stuck. */
  readonly stuckFactor: number;
  /** The shortest time without progress before a run counts as stuck. */
  readonly stuckMinMs: number;
  /** Replaces the placement of waiting tasks, in tests. */
  readonly place?: typeof placeWaitingTasks | undefined;
}
