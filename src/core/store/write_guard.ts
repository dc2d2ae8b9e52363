/** The condition under which the store accepts an append. */
export type WriteGuard =
  /** No condition. */
  | { readonly kind: "none" }
  /** The stream ends at the offset. */
  | { readonly kind: "at"; readonly end: number }
  /** No writer has a higher epoch, and the sequence number is the next one. */
  | {
    readonly kind: "writer";
    readonly writer: string;
    readonly epoch: number;
    readonly sequence: number;
  };
