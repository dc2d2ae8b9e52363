/** When a repeated job's occurrences are due, by the wall clock. */
export interface Schedule {
  readonly firstMs: number;
  readonly intervalMs: number;
  readonly count: number;
}
