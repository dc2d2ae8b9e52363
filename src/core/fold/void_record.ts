import type { Verdict } from "./verdict.ts";
import type { VoidReason } from "./void_reason.ts";

/** A verdict that turns a record down. */
export function voidRecord(reason: VoidReason): Verdict {
  return { accepted: false, reason };
}
