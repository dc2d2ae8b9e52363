import type { GpError } from "../errors/gp_error.ts";

/** How one attempt at a call ended. */
export type CallOutcome =
  & {
    readonly tookMs: number;
    /** Requests at the runner or in its queue when it answered. */
    readonly load?: number;
  }
  & (
    | { readonly ok: true; readonly body: Uint8Array }
    | { readonly ok: false; readonly error: GpError }
  );
