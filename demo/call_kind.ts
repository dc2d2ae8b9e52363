/** The kinds of calls that the demo counts. */
export type CallKind = "check" | "order" | "watch";
