import type { ServerResponse } from "node:http";
import type { GpError } from "../core/errors/gp_error.ts";
import { retryAfterHeader } from "./retry_after_header.ts";
import { sendJson } from "./send_json.ts";

/**
 * Sends an error as JSON: its kind, whether the request ran and when to retry.
 * If an answer has already begun, closes the connection instead.
 */
export function sendError(
  response: ServerResponse,
  error: GpError,
  extraFields: Readonly<Record<string, unknown>> = {},
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { httpStatus, ran, retry, text } = error.descriptor;
  const { kind, retryAfterMs } = error;
  const detail = error.detail || text;
  const headers = retryAfterHeader(retryAfterMs);
  const body = {
    error: kind,
    detail,
    ran,
    retry,
    retryAfterMs,
    ...extraFields,
  };
  sendJson(response, httpStatus, body, headers);
}
