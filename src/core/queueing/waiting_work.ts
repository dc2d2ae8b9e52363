import type { Urgency } from "../cell/urgency.ts";

/** The part of a job that waits for capacity, with its place in the order. */
export interface WaitingWork extends Omit<Urgency, "group"> {
  readonly queue: string;
  /** The origin of the job; empty if it has none. */
  readonly party: string;
  /** In millicores times milliseconds. */
  readonly milliMs: number;
}
