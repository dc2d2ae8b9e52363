import type { HoldChoice } from "./hold_choice.ts";
import type { HoldView } from "./hold_view.ts";
import { latestReturnMs } from "./latest_return_ms.ts";

/** Many times an entry's submissions of a second; bounds memory. */
const maxWaiting = 1_000;
/** What the slowest link, 7 Mbit/s, sends in some 5 s. */
const maxWaitingBytes = 4_000_000;
const returnUnitMs = 1_000;

/**
 * Decides whether a submission waits for the store or is refused at once.
 * Handles the submissions that arrive during an outage: holds those that will
 * be stored within their bound, and no others.
 */
export class HoldPolicy {
  choose(view: HoldView): HoldChoice {
    const { outage, isTurnedAway } = view;
    if (
      view.waiting >= maxWaiting ||
      view.waitingBytes + view.bytes > maxWaitingBytes && view.waiting > 0
    ) return { kind: "refuse", reason: "hold_full" };
    switch (outage.scope) {
      case "none":
        if (!isTurnedAway) return { kind: "append" };
        return { kind: "refuse", reason: "store_refusal" };
      case "partial":
        return { kind: "refuse", reason: "partial_outage" };
      case "full":
        if (view.mayBeStored || isHoldSafe(view)) return { kind: "hold" };
        return { kind: "refuse", reason: "store_outage" };
    }
  }
}

/**
 * Whether the store will be back within the hold bound. Callers return after
 * whole seconds, so a hold that fails may cost a caller its last retry, and the
 * job with it; unless it costs none, most outages must end within the bound.
 */
function isHoldSafe({ outage, holdMs, leftMs }: HoldView): boolean {
  const latestMs = latestReturnMs(leftMs);
  const costsNoRetry = latestMs === undefined ||
    holdMs <= latestMs % returnUnitMs;
  const remainingMs = costsNoRetry
    ? outage.remainingMs
    : outage.mostRemainingMs;
  return remainingMs <= holdMs;
}
