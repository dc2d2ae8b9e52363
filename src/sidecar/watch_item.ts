/** One event of a runner's watch. */
export interface WatchItem {
  readonly position: number;
  readonly body: unknown;
}
