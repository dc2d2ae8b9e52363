import type { Row } from "../core/store/row.ts";
import type { CallerTime } from "./caller_time.ts";
import type { StoreOutcome } from "./store_outcome.ts";

/**
 * Stores callers' rows within the time that they have. Once an append may have
 * stored a row, the outcome is never a refusal.
 */
export interface RowStorer {
  store(row: Row, time: CallerTime): Promise<StoreOutcome>;
  /** Whether an append without answer may have stored a row of the key. */
  mayHaveStored(key: string): boolean;
  /** Whether an append may store a row of the key from now on. */
  mayStillStore(key: string): boolean;
}
