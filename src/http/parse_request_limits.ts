import type { RequestLimits } from "./request_limits.ts";

const bytesPerMb = 1_048_576;
/** The share of a process's memory for requests under way. */
const heldShare = 1 / 16;
/** Of a process's descriptors; sockets share the others. */
const fileDescriptors = 200;
/** The share of callers; the others are to the store, members and operators. */
const connectionShare = 1 / 2;
/** Room for some of the greatest bodies, whatever the memory. */
const minHeldBytes = 4_194_304;

/** Derives the limits on requests from those of the process. */
export function parseRequestLimits(
  numberOr: (key: string, fallback: number) => number,
): RequestLimits {
  const memoryBytes = numberOr("limits.memoryMb", 256) * bytesPerMb;
  const maxDescriptors = numberOr("limits.maxFds", 1_224);
  return {
    heldBytes: numberOr(
      "requests.heldBytes",
      Math.max(minHeldBytes, memoryBytes * heldShare),
    ),
    connections: numberOr(
      "requests.connections",
      Math.floor((maxDescriptors - fileDescriptors) * connectionShare),
    ),
  };
}
