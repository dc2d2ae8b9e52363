/** An entry's view of the cell's keeper. Times are of its monotonic clock. */
export interface KeeperView {
  /** This entry is the keeper, is taking over, or has resigned. */
  readonly isIneligible: boolean;
  /** This entry has caught up with all streams that a keeper needs. */
  readonly isCaughtUp: boolean;
  /** This entry's machine has enough resources for a keeper. */
  readonly isStrong: boolean;
  /** Who won the newest election, relative to this entry. */
  readonly winner: "none" | "other" | "self" | "earlier_self";
  /** The keeper has resigned, and no other was elected since. */
  readonly hasResigned: boolean;
  /** A keeper is connected and has not reported the store unreachable. */
  readonly isConnected: boolean;
  /** When a keeper last connected, or its stream last grew. */
  readonly keeperActiveAtMs: number;
  /**
   * When the keeper's stream was last read; before the first election, that of
   * the epochs. Time after this read is no evidence of silence.
   */
  readonly readAtMs: number;
  readonly nowMs: number;
  /** This candidate's own delay, so that mostly one campaigns at a time. */
  readonly delayMs: number;
}
