import type { RefusalReason } from "./refusal_reason.ts";

/** A refused request, with the time after which a retry may succeed. */
export interface Refusal {
  readonly kind: "refused";
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}
