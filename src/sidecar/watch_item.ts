/** One event of a watch. */
export interface WatchItem {
  readonly position: number;
  readonly body: unknown;
}
