import type { GpError } from "../errors/gp_error.ts";

/** How one attempt at a call ended. */
export type CallOutcome =
  | { readonly ok: true; readonly body: Uint8Array; readonly tookMs: number }
  | { readonly ok: false; readonly error: GpError; readonly tookMs: number };
