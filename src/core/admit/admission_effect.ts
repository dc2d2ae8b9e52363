import type { ErrorKind } from "../errors/error_kind.ts";

/** What becomes of a request that was offered. */
export type AdmissionEffect =
  | { readonly kind: "run"; readonly id: string }
  | {
    readonly kind: "refuse";
    readonly id: string;
    readonly error: ErrorKind;
    readonly retryAfterMs: number;
  };
