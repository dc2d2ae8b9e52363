/** What a caller needs for a retry: the call itself and a store's append. */
const retryMarginMs = 200;
/** Callers wait whole seconds, so an earlier return cannot be asked for. */
const minReturnMs = 1_000;

/**
 * The latest return that lets a caller retry within the time it still has;
 * undefined if there is none.
 */
export function latestReturnMs(withinMs: number): number | undefined {
  const latestMs = withinMs - retryMarginMs;
  return latestMs >= minReturnMs ? latestMs : undefined;
}
