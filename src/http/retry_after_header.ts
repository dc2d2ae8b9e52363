const msPerSecond = 1_000;

/** Returns the header that tells when to retry; none for 0. */
export function retryAfterHeader(retryAfterMs: number): Record<string, string> {
  if (retryAfterMs <= 0) return {};
  return { "retry-after": String(Math.ceil(retryAfterMs / msPerSecond)) };
}
