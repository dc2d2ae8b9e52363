/** Where an append has put its rows. */
export interface Appended {
  /** The offset of the first row. */
  readonly offset: number;
  /** The offset that the next append gets. */
  readonly end: number;
}
