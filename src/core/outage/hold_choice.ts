/** What to do with a submission: append it, hold it, or refuse it at once. */
export type HoldChoice =
  | { readonly kind: "append" }
  | { readonly kind: "hold" }
  | {
    readonly kind: "refuse";
    readonly reason:
      | "hold_full"
      | "partial_outage"
      | "store_outage"
      | "store_refusal";
  };
