import type { GenericSchema } from "valibot";
import type { Logger } from "../adapters/logger.ts";
import type { Row } from "../core/store/row.ts";
import { parseRow } from "../schema/rows/parse_row.ts";

/** How many keys are remembered, so that each is logged once. */
const maxReportedKeys = 1_000;
const maxReasonLength = 200;

/**
 * Turns the rows of a stream into values. Any program may have written a row:
 * one that cannot be read is logged, and changes nothing.
 */
export class RowReader {
  /** The keys whose newest row cannot be read. */
  readonly #reported = new Set<string>();

  constructor(readonly stream: string, readonly log: Logger) {}

  /** Returns a row's value; undefined if it has none, or cannot be read. */
  read<T>(schema: GenericSchema<unknown, T>, row: Row): T | undefined {
    const { key, value } = row;
    if (value === undefined) return undefined;
    const result = parseRow(schema, value);
    if (result.isOk) {
      this.#reported.delete(key);
      return result.value;
    }
    this.#report(key, result.error.slice(0, maxReasonLength));
    return undefined;
  }

  #report(key: string, reason: string): void {
    if (this.#reported.has(key) || this.#reported.size >= maxReportedKeys) {
      return;
    }
    this.#reported.add(key);
    const { stream } = this;
    this.log.warn("row_ignored", { stream, key, reason });
  }
}
