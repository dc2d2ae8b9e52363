/** What a `RunTimeEstimator` has learned, as stored for the next keeper. */
export interface RunTimeRow {
  readonly kinds: readonly KindRow[];
}

/** A kind of task: its `KindTimes`, with the histogram from its first bin. */
type KindRow = readonly [
  kind: string,
  sums: readonly number[],
  firstBin: number,
  weights: readonly number[],
];
