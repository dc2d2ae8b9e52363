/** How long a caller waits for the answer to its request. */
export interface CallerTime {
  /** When the request arrived, by the monotonic clock. */
  readonly arrivedAtMs: number;
  /** How long after that the caller gives up. */
  readonly deadlineMs: number;
  /** How long after the arrival the answer must be sent. */
  readonly withinMs: number;
  /** Aborted when the caller closes its connection. */
  readonly signal: AbortSignal;
}
