/** Why a call to the store failed. */
export type StoreFailure =
  /** No effect: the store refused the call or the connection. */
  | { readonly kind: "refused"; readonly detail: string }
  /** No effect: the store is full. */
  | { readonly kind: "full"; readonly detail: string }
  /** No answer: the call may have taken effect, or may do so later. */
  | { readonly kind: "unknown"; readonly detail: string }
  /** The stream ends at another offset than the guard requires. */
  | { readonly kind: "conflict"; readonly end: number }
  /** A writer with a higher epoch has taken over the stream. */
  | { readonly kind: "fenced" }
  /** The sequence number does not follow the previous one. */
  | { readonly kind: "sequence"; readonly expected: number }
  /** The requested records are no longer retained; `first` is the oldest. */
  | { readonly kind: "trimmed"; readonly first: number }
  /** The store calls the request malformed: a fault of this program. */
  | { readonly kind: "rejected"; readonly detail: string };
