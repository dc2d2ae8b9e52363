/** Faults that a proxy shows to connections and bytes that pass. */
export interface ProxyFaults {
  /** Nothing is accepted; open connections are reset. */
  isCut: boolean;
  /** Bytes are taken but none come out on either side. */
  isHalfOpen: boolean;
  /** Each chunk waits this long. */
  delayMs: number;
  /** Share of connections that are reset at once when they open. */
  refuseRatio: number;
  /** Share of answers' chunks after which the connection is reset. */
  resetRatio: number;
  /** Share of answers' chunks that are cut in half, then reset. */
  truncateRatio: number;
  /** Share of answers' chunks that never arrive. */
  loseRatio: number;
  /** Share of answers' chunks that go to another caller, whose own comes here. */
  swapRatio: number;
  /** Share of requests' chunks after which the connection is reset. */
  resetRequestRatio: number;
}
