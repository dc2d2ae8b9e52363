/** What an entry knows of the cell's keeper. Times by its steady clock. */
export interface KeeperView {
  /** It keeps the cell, is about to, or leaves. */
  readonly isBound: boolean;
  /** It has read all streams that a keeper needs. */
  readonly isCaughtUp: boolean;
  /** Its machine's share suits a keeper. */
  readonly isStrong: boolean;
  readonly winner: "none" | "other" | "self" | "earlier_self";
  /** The keeper has said that it leaves, and nobody has won since. */
  readonly hasResigned: boolean;
  /** A keeper is connected and has not called itself cut off. */
  readonly isConnected: boolean;
  /** When the keeper was last heard, or its stream last grew. */
  readonly stirredAtMs: number;
  /** When the keeper's stream was last read: what is not read tells nothing. */
  readonly readAtMs: number;
  readonly nowMs: number;
  /** This candidate's own delay, so that mostly one stands. */
  readonly delayMs: number;
}
