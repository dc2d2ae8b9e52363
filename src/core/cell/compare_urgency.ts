import type { Urgency } from "./urgency.ts";

/** Orders groups by who goes first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.band - b.band || a.priority - b.priority ||
    a.rankMs - b.rankMs;
}
