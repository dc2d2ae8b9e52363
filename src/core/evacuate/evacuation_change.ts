/** What a row of the operator's stream changes in the requested evacuations. */
export type EvacuationChange =
  | { readonly kind: "requested" | "ended"; readonly zone: string }
  | {
    readonly kind: "ignored";
    readonly key: string;
    readonly reason: "key" | "value";
  };
