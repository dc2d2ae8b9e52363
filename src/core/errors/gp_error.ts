import type { ErrorAnswer } from "./error_answer.ts";
import type { ErrorKind } from "./error_kind.ts";
import { errorTable } from "./error_table.ts";

/** An error of the closed list, with a detail for people. */
export class GpError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly detail: string = "",
    readonly retryAfterMs: number = 0,
  ) {
    super(detail === "" ? errorTable[kind].text : detail);
    this.name = "GpError";
  }

  /** The row of the error table for this kind. */
  get answer(): ErrorAnswer {
    return errorTable[this.kind];
  }

  /** Wraps anything thrown; an unknown fault becomes `internal`. */
  static from(cause: unknown): GpError {
    if (cause instanceof GpError) return cause;
    const detail = cause instanceof Error ? cause.message : String(cause);
    return new GpError("internal", detail);
  }
}
