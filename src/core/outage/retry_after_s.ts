import { latestReturnMs } from "./latest_return_ms.ts";

const msPerSecond = 1_000;

/**
 * A return time in whole seconds, rounded up unless the caller would then come
 * too late for a retry.
 */
export function retryAfterS(retryAfterMs: number, leftMs: number): number {
  const roundedUpS = Math.max(1, Math.ceil(retryAfterMs / msPerSecond));
  const latestMs = latestReturnMs(leftMs);
  if (latestMs === undefined) return roundedUpS;
  return Math.min(roundedUpS, Math.floor(latestMs / msPerSecond));
}
