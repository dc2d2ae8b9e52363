import { GpError } from "../core/errors/gp_error.ts";

/** Parses a request's JSON body; throws `bad_request` if it is malformed. */
export function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch {
    throw new GpError("bad_request", "the body is not JSON");
  }
}
