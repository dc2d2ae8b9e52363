import { isRecord } from "../core/check/is_record.ts";
import type { Logger } from "../adapters/logger.ts";

/**
 * Parses a row's value, which must be an object. Its shape is not checked,
 * since only the system's own processes write rows.
 */
export function parseJsonRow<T>(
  value: string,
  key: string,
  log: Logger,
): T | undefined {
  try {
    const row: unknown = JSON.parse(value);
    if (isRecord(row)) return row as T;
    log.warn("row_ignored", { key, reason: "not an object" });
  } catch {
    log.warn("row_ignored", { key, reason: "not JSON" });
  }
  return undefined;
}
