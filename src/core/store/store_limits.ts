/** The sizes that the store accepts. */
export interface StoreLimits {
  /** The most bytes of a record: the length of its key, key and value. */
  readonly recordBytes: number;
  /** The most bytes of the records of one append, each with its length. */
  readonly callBytes: number;
}
