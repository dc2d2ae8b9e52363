import type { Logger } from "../adapters/logger.ts";

/**
 * Parses a row's value without checking its shape, since only the system's own
 * processes write rows. Returns undefined if it is not JSON.
 */
export function parseJsonRow<T>(
  value: string,
  key: string,
  log: Logger,
): T | undefined {
  try {
    return JSON.parse(value) as T;
  } catch {
    log.warn("row_ignored", { key, reason: "not JSON" });
    return undefined;
  }
}
