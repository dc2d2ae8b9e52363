/** What a retry takes: an append (4 ms) and the way to the caller and back. */
const retryMarginMs = 12;
/** Callers wait whole seconds, so an earlier return cannot be asked for. */
const minReturnMs = 1_000;

/**
 * The latest return that lets a caller retry within the time it still has;
 * undefined if there is none.
 */
export function latestReturnMs(leftMs: number): number | undefined {
  const latestMs = leftMs - retryMarginMs;
  return latestMs >= minReturnMs ? latestMs : undefined;
}
