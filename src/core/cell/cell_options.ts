/** When a cell counts a run as stuck. */
export interface CellOptions {
  /** A run without progress for this many times its expected time is stuck. */
  readonly stuckFactor: number;
  /** The shortest time without progress before a run counts as stuck. */
  readonly stuckMinMs: number;
}
