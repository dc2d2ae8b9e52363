import type { Row } from "./row.ts";

const encoder = new TextEncoder();
/** A record begins with the length of its key. */
const keyLengthBytes = 1;

/** The size of a row's record. */
export function rowBytes({ key, value = "" }: Row): number {
  return keyLengthBytes + encoder.encode(key).length +
    encoder.encode(value).length;
}
