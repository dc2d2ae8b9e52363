import type { Urgency } from "../cell/urgency.ts";

/** The part of a job that waits for capacity, with its place in the order. */
export interface WaitingWork extends Omit<Urgency, "group"> {
  readonly queue: string;
  /** In millicores times milliseconds. */
  readonly milliMs: number;
}
