import type { VoidReason } from "./void_reason.ts";

/** The fold's verdict on one record. */
export type Verdict =
  | { readonly accepted: true }
  | { readonly accepted: false; readonly reason: VoidReason };
