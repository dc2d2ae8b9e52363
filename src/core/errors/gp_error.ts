import type { ErrorDescriptor } from "./error_descriptor.ts";
import type { ErrorKind } from "./error_kind.ts";
import { errorTable } from "./error_table.ts";

/** An error of a known kind, with a detail for human readers. */
export class GpError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly detail: string = "",
    readonly retryAfterMs: number = 0,
  ) {
    super(detail === "" ? errorTable[kind].text : detail);
    this.name = "GpError";
  }

  /** Returns how errors of this kind are reported. */
  get descriptor(): ErrorDescriptor {
    return errorTable[this.kind];
  }

  /** Converts anything thrown; an unknown error becomes `internal`. */
  static from(cause: unknown): GpError {
    if (cause instanceof GpError) return cause;
    const detail = cause instanceof Error ? cause.message : String(cause);
    return new GpError("internal", detail);
  }
}
