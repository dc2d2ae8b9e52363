import { hashText } from "../hash/hash_text.ts";
import { latestReturnMs } from "./latest_return_ms.ts";

const minReturnMs = 1_000;
/** The least time over which the callers' returns are spread. */
const minSpreadMs = 100;
/** The spread as a share of the remaining time, in which callers accumulate. */
const spreadShare = 0.05;
const hashRange = 2 ** 32;

/**
 * When a caller refused for an outage is to return: once the store is expected
 * back, and after a delay by job id so that not all return at the same moment.
 * If the caller would give up before that, it returns while it can still retry.
 */
export function returnTimeMs(
  id: string,
  remainingMs: number,
  leftMs: number,
): number {
  const delayMs = Math.max(minSpreadMs, remainingMs * spreadShare) *
    (hashText(id) / hashRange);
  const returnMs = Math.max(minReturnMs, Math.ceil(remainingMs + delayMs));
  return Math.min(returnMs, latestReturnMs(leftMs) ?? returnMs);
}
