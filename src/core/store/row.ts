/** A value for a key, replacing earlier ones; undefined deletes the key. */
export interface Row {
  readonly key: string;
  readonly value: string | undefined;
}
