import type { ServerResponse } from "node:http";
import type { Logger } from "../adapters/logger.ts";
import { GpError } from "../core/errors/gp_error.ts";
import { retryAfterHeader } from "./retry_after_header.ts";
import { sendJson } from "./send_json.ts";

/** Answers a request whose handling threw. */
export function sendFailure(
  response: ServerResponse,
  cause: unknown,
  log: Logger,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  if (cause instanceof GpError) {
    const { detail: error, descriptor, retryAfterMs } = cause;
    const body = retryAfterMs > 0 ? { error, retryAfterMs } : { error };
    const headers = retryAfterHeader(retryAfterMs);
    sendJson(response, descriptor.httpStatus, body, headers);
    return;
  }
  const { message } = cause as Error;
  // Node reports a request that its caller broke off as "aborted".
  if (message !== "aborted") log.error("request_failed", { message });
  sendJson(response, 500, { error: "an unexpected fault" });
}
