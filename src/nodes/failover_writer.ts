import { err } from "true-myth/result";
import type { AppendResult } from "../core/store/append_result.ts";
import type { Row } from "../core/store/row.ts";
import type { RowAppender } from "../core/store/row_appender.ts";
import type { StoreFailure } from "../core/store/store_failure.ts";
import type { StoreResult } from "../core/store/store_result.ts";

/**
 * Appends rows to the first of several streams that accepts them, for outages
 * in which the store serves only some of its streams. A row may end up in more
 * than one stream, so readers must ignore repeated keys.
 */
export class FailoverWriter implements RowAppender {
  /** The streams' writers, the preferred one first; at least one. */
  constructor(
    readonly writers: readonly RowAppender[],
    readonly onFailover: (row: Row, stream: number) => void = () => {},
  ) {}

  get isUnreachable(): boolean {
    return this.writers.every(({ isUnreachable }) => isUnreachable);
  }

  mayHaveStored(key: string): boolean {
    return this.writers.some((writer) => writer.mayHaveStored(key));
  }

  /**
   * Stores a row. It fails with `unknown` if any stream may have stored it, and
   * with `refused` only if no stream has or will.
   */
  async append(row: Row): Promise<StoreResult<AppendResult>> {
    let failure: StoreFailure = { kind: "refused", detail: "no stream" };
    for (const [index, writer] of this.writers.entries()) {
      const result = await writer.append(row);
      if (result.isOk) {
        if (index > 0) this.onFailover(row, index);
        return result;
      }
      if (failure.kind !== "unknown") failure = result.error;
    }
    if (failure.kind === "refused" && this.mayHaveStored(row.key)) {
      return err({ kind: "unknown", detail: failure.detail });
    }
    return err(failure);
  }
}
