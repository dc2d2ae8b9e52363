import type { waitingReasons } from "./waiting_reasons.ts";

/** One of `waitingReasons`. */
export type WaitingReason = typeof waitingReasons[number];
