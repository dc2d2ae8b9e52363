import type { ErrorKind } from "../errors/error_kind.ts";

/** A decision on an offered request: it is to run, or to be refused. */
export type AdmissionEffect =
  | { readonly kind: "run"; readonly id: string }
  | {
    readonly kind: "refuse";
    readonly id: string;
    readonly error: ErrorKind;
    readonly retryAfterMs: number;
  };
