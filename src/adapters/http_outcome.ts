/** The outcome of an HTTP call. */
export type HttpOutcome =
  | { readonly kind: "answer"; readonly status: number; readonly body: Buffer }
  /** The connection could not be opened: the request had no effect. */
  | {
    readonly kind: "refused";
    /** Whether the machine answered that nothing listens there. */
    readonly isClosed: boolean;
    readonly detail: string;
  }
  /** No complete answer arrived: the request may have taken effect. */
  | {
    readonly kind: "unknown";
    /** Whether the connection ended before the time limit. */
    readonly isBroken: boolean;
    readonly detail: string;
  };
