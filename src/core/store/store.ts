import type { AppendResult } from "./append_result.ts";
import type { NewestPage } from "./newest_page.ts";
import type { Row } from "./row.ts";
import type { RowPage } from "./row_page.ts";
import type { StoreResult } from "./store_result.ts";
import type { WriteGuard } from "./write_guard.ts";

/**
 * The platform's store: streams of keyed rows. The newest row of each key is
 * kept forever. Calls never reject; each completes within its own time limit.
 */
export interface Store {
  /** Appends all rows or none. */
  append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
    timeoutMs: number,
  ): Promise<StoreResult<AppendResult>>;
  /** Reads from an offset; waits up to `waitMs` for a row to be appended. */
  read(
    stream: string,
    from: number,
    waitMs: number,
  ): Promise<StoreResult<RowPage>>;
  /** Reads a page of the newest row of each key, after the given key. */
  readNewest(
    stream: string,
    after: string | undefined,
  ): Promise<StoreResult<NewestPage>>;
}
