import type { Logger } from "../adapters/logger.ts";

/** A row's value, which only our own processes write. */
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
