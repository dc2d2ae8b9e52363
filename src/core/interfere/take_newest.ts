import { jsonBytes } from "../check/json_bytes.ts";

/** The newest of the values that fit in so many bytes of JSON, in their order. */
export function takeNewest<T>(values: Iterable<T>, maxBytes: number): T[] {
  const taken: T[] = [];
  let bytes = 2;
  for (const value of [...values].reverse()) {
    const size = jsonBytes(value) + 1;
    if (bytes + size > maxBytes) continue;
    bytes += size;
    taken.push(value);
  }
  return taken.reverse();
}
