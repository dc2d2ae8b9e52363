import type { CallOutcome } from "../retry/call_outcome.ts";

/** An order that runs or has run. */
export interface OrderEntry {
  readonly bodyHash: number;
  readonly sinceMs: number;
  outcome?: CallOutcome;
  /** Repeats that wait for the first one's end. */
  readonly waiting: ((outcome: CallOutcome) => void)[];
}
