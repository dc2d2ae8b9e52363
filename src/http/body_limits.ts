import type { RequestHold } from "./request_hold.ts";

/** Limits on a request's body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** How long it may take; as long as the connection lasts if undefined. */
  readonly withinMs?: number;
  /** What the request holds of its process's budget, if that has one. */
  readonly hold?: RequestHold;
}
