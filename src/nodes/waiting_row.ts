import type { Row } from "../core/store/row.ts";
import type { CallerTime } from "./caller_time.ts";
import type { StoreOutcome } from "./store_outcome.ts";

/** A row that waits to be stored, or for the answer to its append. */
export interface WaitingRow {
  readonly row: Row;
  readonly bytes: number;
  readonly time: CallerTime;
  /** When the row was first submitted, perhaps in an earlier request. */
  readonly firstAtMs: number;
  /** Whether an append with the row is without an answer yet. */
  isSent: boolean;
  /** Whether the row is too large for others, or failed together with some. */
  goesAlone: boolean;
  /** Whether the caller has closed its connection. */
  isWithdrawn: boolean;
  /** When the row began to be held for an outage. */
  heldAtMs: number | undefined;
  readonly done: (outcome: StoreOutcome) => void;
}
