import type { VoidReason } from "./void_reason.ts";

/** Whether the fold accepted a record, or why it is void. */
export type Verdict =
  | { readonly accepted: true }
  | { readonly accepted: false; readonly reason: VoidReason };
