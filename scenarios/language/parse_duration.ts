const unitsMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** Parses a duration such as `250ms`, `1.2s` or `5m`; returns milliseconds. */
export function parseDuration(text: string): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
  const unit = unitsMs[match?.[2] ?? ""];
  if (match === null || unit === undefined) {
    throw new Error(`expected a duration such as 250ms or 1.2s, got '${text}'`);
  }
  return Number(match[1]) * unit;
}
