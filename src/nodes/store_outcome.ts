import type { Refusal } from "./refusal.ts";

/** The outcome of a request to store a row. */
export type StoreOutcome =
  | { readonly kind: "stored" }
  /** Not stored, and will not be. */
  | Refusal
  /** It may have been stored, or may be yet. */
  | { readonly kind: "unknown" };
