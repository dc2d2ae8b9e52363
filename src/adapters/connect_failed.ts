/** Codes of errors that mean that no connection was opened. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Whether the error proves that no byte of the request was sent, by one of the
 * codes. Examines its chain of causes; of an aggregate, every error must prove
 * it.
 */
export function connectFailed(
  cause: unknown,
  codes = connectErrorCodes,
): boolean {
  let current: unknown = cause;
  for (let depth = 0; depth < 5 && current instanceof Error; depth++) {
    const { code } = current as { code?: unknown };
    if (typeof code === "string" && codes.has(code)) return true;
    if (current instanceof AggregateError && current.errors.length > 0) {
      return current.errors.every((each) => connectFailed(each, codes));
    }
    current = current.cause;
  }
  return false;
}
