/** The condition under which an append is done. */
export type WriteGuard =
  /** Always. */
  | { readonly kind: "none" }
  /** Where the stream ends at the offset. */
  | { readonly kind: "at"; readonly end: number }
  /** Where no writer with a higher epoch has been seen, in sequence. */
  | {
    readonly kind: "writer";
    readonly writer: string;
    readonly epoch: number;
    readonly sequence: number;
  };
