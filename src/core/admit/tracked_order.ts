import type { CallOutcome } from "../retry/call_outcome.ts";

/** An order that is running or has run, with its outcome once it is known. */
export interface TrackedOrder {
  readonly bodyHash: number;
  readonly registeredAtMs: number;
  outcome?: CallOutcome;
  /** Callbacks of repeated requests that await the outcome. */
  readonly waiting: ((outcome: CallOutcome) => void)[];
}
