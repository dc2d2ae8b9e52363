/** Why a call to the store gave no result. */
export type StoreFailure =
  /** Nothing was done: turned away, or the connection could not be opened. */
  | { readonly kind: "refused"; readonly detail: string }
  /** Nothing was done: the store is full. */
  | { readonly kind: "full"; readonly detail: string }
  /** No answer came; it may have taken effect, or may do so later. */
  | { readonly kind: "unknown"; readonly detail: string }
  /** The stream does not end at the offset that was asked for. */
  | { readonly kind: "conflict"; readonly end: number }
  /** A writer with a higher epoch has taken the stream over. */
  | { readonly kind: "fenced" }
  /** The sequence does not follow the last one. */
  | { readonly kind: "sequence"; readonly expected: number }
  /** The records asked for are no longer kept. */
  | { readonly kind: "trimmed"; readonly first: number }
  /** The store calls the request malformed, which is a fault of ours. */
  | { readonly kind: "rejected"; readonly detail: string };
