import type { ServerResponse } from "node:http";
import type { GpError } from "../core/errors/gp_error.ts";
import { sendJson } from "./send_json.ts";

/** Sends an error's answer: its kind, whether it ran, and when to come back. */
export function sendError(
  response: ServerResponse,
  error: GpError,
  more: Readonly<Record<string, unknown>> = {},
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { httpStatus, ran, retry, text } = error.answer;
  const { kind, retryAfterMs } = error;
  const detail = error.detail || text;
  const headers: Record<string, string> = retryAfterMs > 0
    ? { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }
    : {};
  const body = { error: kind, detail, ran, retry, retryAfterMs, ...more };
  sendJson(response, httpStatus, body, headers);
}
