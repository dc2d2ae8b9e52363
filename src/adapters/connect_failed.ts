const codes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether the fault proves that no byte of the request was sent. */
export function connectFailed(cause: unknown): boolean {
  let current: unknown = cause;
  for (let depth = 0; depth < 5 && current instanceof Error; depth++) {
    const { code } = current as { code?: unknown };
    if (typeof code === "string" && codes.has(code)) return true;
    if (current instanceof AggregateError && current.errors.length > 0) {
      return current.errors.every(connectFailed);
    }
    current = current.cause;
  }
  return false;
}
