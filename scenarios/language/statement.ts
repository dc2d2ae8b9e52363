/** One line of a scenario: its words, and its key=value arguments apart. */
export interface Statement {
  readonly line: number;
  readonly words: readonly string[];
  readonly args: ReadonlyMap<string, string>;
}
