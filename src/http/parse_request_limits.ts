import type { RequestLimits } from "./request_limits.ts";

const bytesPerMb = 1_048_576;
/** The share of a process's memory for requests under way. */
const heldShare = 1 / 16;
/** Room for some of the greatest bodies, whatever the memory. */
const minHeldBytes = 4_194_304;

/** Derives the limits on requests from those of the process. */
export function parseRequestLimits(
  numberOr: (key: string, fallback: number) => number,
): RequestLimits {
  const memoryBytes = numberOr("limits.memoryMb", 256) * bytesPerMb;
  return {
    heldBytes: numberOr(
      "requests.heldBytes",
      Math.max(minHeldBytes, memoryBytes * heldShare),
    ),
  };
}
