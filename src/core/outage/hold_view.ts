import type { OutageState } from "./outage_state.ts";

/** What the decision to hold or refuse a submission depends on. */
export interface HoldView {
  readonly outage: OutageState;
  /** Whether recent appends failed although the store answers other calls. */
  readonly isTurnedAway: boolean;
  /** How long the submission can be held at most. */
  readonly holdMs: number;
  /** How long the caller still waits for its answer, retries included. */
  readonly leftMs: number;
  /** Whether an append without an answer may have stored it. */
  readonly mayBeStored: boolean;
  /** The size of the submission. */
  readonly bytes: number;
  /** The number and size of the submissions that wait already. */
  readonly waiting: number;
  readonly waitingBytes: number;
}
