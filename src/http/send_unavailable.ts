import type { ServerResponse } from "node:http";
import { retryAfterHeader } from "./retry_after_header.ts";
import { sendJson } from "./send_json.ts";

const retryAfterMs = 1_000;

/** Refuses a request of which nothing was done; it may be sent again soon. */
export function sendUnavailable(response: ServerResponse, error: string): void {
  const headers = retryAfterHeader(retryAfterMs);
  sendJson(response, 503, { error, retryAfterMs }, headers);
}
