/** The usual length of an outage before any was seen; those lasted 2.6-5.2 s. */
const priorLengthMs = 3_000;
/** The prior counts as one outage. */
const priorWeight = 1;
const maxLengths = 8;
/** The weight of a length relative to that of the next newer one. */
const olderWeight = 0.6;
/** The prior's lengths as factors with shares: the range of those seen. */
const priorSpread = [[0.87, 0.3], [1, 0.4], [1.2, 0.2], [1.7, 0.1]] as const;
/** How lengths around one that was seen are expected. */
const seenSpread = [[0.95, 0.3], [1, 0.4], [1.05, 0.3]] as const;

interface Weighted {
  readonly lengthMs: number;
  readonly weight: number;
}

/**
 * Predicts when an outage of the store ends, from its age and the lengths of
 * earlier outages. Handles submissions that arrive while the store is away.
 */
export class OutageForecast {
  /** The lengths of the newest outages, newest first. */
  #lengthsMs: readonly number[] = [];

  /** Records the length of an outage that has ended. */
  record(lengthMs: number): void {
    this.#lengthsMs = [lengthMs, ...this.#lengthsMs].slice(0, maxLengths);
  }

  /**
   * The expected remaining time of an outage: the median of the lengths that
   * exceed its age. The mean would follow a single very long outage. An outage
   * older than all lengths is expected to last as long again. With another
   * `share`, the time within which that share of outages ends.
   */
  remainingMs(ageMs: number, share = 0.5): number {
    const longer = this.#lengths()
      .filter(({ lengthMs }) => lengthMs > ageMs)
      .sort((a, b) => a.lengthMs - b.lengthMs);
    let left = share * longer.reduce((sum, { weight }) => sum + weight, 0);
    for (const { lengthMs, weight } of longer) {
      left -= weight;
      if (left <= 0) return lengthMs - ageMs;
    }
    return Math.max(0, ageMs);
  }

  #lengths(): Weighted[] {
    return [
      ...spreadOf(priorLengthMs, priorWeight, priorSpread),
      ...this.#lengthsMs.flatMap((lengthMs, index) =>
        spreadOf(lengthMs, olderWeight ** index, seenSpread)
      ),
    ];
  }
}

function spreadOf(
  lengthMs: number,
  weight: number,
  spread: typeof priorSpread | typeof seenSpread,
): Weighted[] {
  return spread.map(([factor, share]) => ({
    lengthMs: lengthMs * factor,
    weight: weight * share,
  }));
}
