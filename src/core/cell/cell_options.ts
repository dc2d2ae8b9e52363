/** How a cell decides. Times by the keeper's steady clock. */
export interface CellOptions {
  /** How much longer a task takes away from its data or its gang's rack. */
  readonly farFactor: number;
  /** The part of its expected time without progress from which a run is stuck. */
  readonly stuckFactor: number;
  /** The least time before a run counts as stuck. */
  readonly stuckLeastMs: number;
}
