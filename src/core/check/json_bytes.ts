const encoder = new TextEncoder();

/** The size of a value as JSON in UTF-8. */
export function jsonBytes(value: unknown): number {
  return encoder.encode(JSON.stringify(value)).length;
}
