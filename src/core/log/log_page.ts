/** Records read from a stream, in offset order without a gap. */
export interface LogPage {
  /** The offset of the first record. */
  readonly from: number;
  readonly records: readonly unknown[];
  /** The offset that the next record appended to the stream would get. */
  readonly end: number;
  /** The oldest offset that the log still keeps. */
  readonly oldest: number;
}
