/** What the log and the runners say really happened. */
export interface Findings {
  readonly finished: number;
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly evictions: number;
  readonly reclaims: number;
  readonly epochs: number;
  /** How often each marker ran, over all runners that still answer. */
  readonly ran: ReadonlyMap<string, number>;
}
