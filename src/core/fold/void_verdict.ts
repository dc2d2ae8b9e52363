import type { Verdict } from "./verdict.ts";
import type { VoidReason } from "./void_reason.ts";

/** The verdict on a record that is void. */
export function voidVerdict(reason: VoidReason): Verdict {
  return { accepted: false, reason };
}
