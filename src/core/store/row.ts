/** The newest value of a key; without a value the key is dropped. */
export interface Row {
  readonly key: string;
  readonly value: string | undefined;
}
