import type { AppendResult } from "./append_result.ts";
import type { Row } from "./row.ts";
import type { StoreResult } from "./store_result.ts";

/** Appends single rows to the store, in batches where they come together. */
export interface RowAppender {
  /** Whether an append now would probably fail. */
  readonly isUnreachable: boolean;
  /** Whether an append without answer may have stored a row of the key. */
  mayHaveStored(key: string): boolean;
  append(row: Row): Promise<StoreResult<AppendResult>>;
}
