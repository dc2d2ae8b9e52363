/** The offsets of the rows that an append stored. */
export interface AppendResult {
  /** The offset of the first row. */
  readonly offset: number;
  /** The offset of the next append. */
  readonly end: number;
}
