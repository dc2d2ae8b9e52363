/** Faults that a proxy injects; each ratio is the share of cases it hits. */
export interface ProxyFaults {
  /** New and open connections are reset. */
  isCut: boolean;
  /** Connections stay open, but nothing is forwarded either way. */
  isHalfOpen: boolean;
  /** Time that each chunk waits before it is forwarded. */
  delayMs: number;
  /** Connections that are reset as soon as they open. */
  refuseRatio: number;
  /** Chunks of answers after which the connection is reset. */
  resetRatio: number;
  /** Chunks of answers that are cut in half before the connection is reset. */
  truncateRatio: number;
  /** Chunks of answers that never arrive. */
  loseRatio: number;
  /** Chunks of answers that are swapped with those of another caller. */
  swapRatio: number;
  /** Chunks of requests after which the connection is reset. */
  resetRequestRatio: number;
}
