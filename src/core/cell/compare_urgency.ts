import type { Urgency } from "./urgency.ts";

/** Compares two groups for sorting, the more urgent one first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.band - b.band || a.priority - b.priority ||
    a.rankMs - b.rankMs;
}
