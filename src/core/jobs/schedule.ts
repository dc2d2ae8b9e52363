/** When the occurrences of a repeated job are due, by the wall clock. */
export interface Schedule {
  readonly firstMs: number;
  readonly intervalMs: number;
  readonly count: number;
}
