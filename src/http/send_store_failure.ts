import type { ServerResponse } from "node:http";
import { retryAfterS } from "../core/outage/retry_after_s.ts";
import type { CallerTime } from "../nodes/caller_time.ts";
import type { Refusal } from "../nodes/refusal.ts";
import { sendJson } from "./send_json.ts";

/** Answers a request that was refused, or of which the outcome is unknown. */
export function sendStoreFailure(
  response: ServerResponse,
  outcome: Refusal | { readonly kind: "unknown" },
  { arrivedAtMs, deadlineMs }: CallerTime,
  error: string,
): void {
  if (outcome.kind === "unknown") {
    // The request may have been stored; a retry with the same id is safe.
    const unknown = "outcome unknown; send the same id again";
    sendJson(response, 504, { error: unknown });
    return;
  }
  const { reason, retryAfterMs } = outcome;
  const status = reason === "overload" ? 429 : 503;
  const leftMs = deadlineMs - (performance.now() - arrivedAtMs);
  sendJson(response, status, { error, retryAfterMs }, {
    "retry-after": String(retryAfterS(retryAfterMs, leftMs)),
  });
}
