/** The usual length of an outage before any was seen; those lasted 2.6-5.2 s. */
const priorLengthMs = 3_000;
/** Half an outage: the first one seen outweighs the prior. */
const priorWeight = 0.5;
const maxLengths = 8;
/** The weight of a length relative to that of the next newer one. */
const olderWeight = 0.6;
/**
 * How outages of one cause vary around a length, as factors with their shares.
 * For the prior they give 2.6 to 5.1 s, the range of the outages seen.
 */
const spread = [[0.85, 0.3], [1, 0.4], [1.2, 0.2], [1.7, 0.1]] as const;

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
   * older than all lengths is expected to last as long again.
   */
  remainingMs(ageMs: number): number {
    const longer = this.#lengths()
      .filter(({ lengthMs }) => lengthMs > ageMs)
      .sort((a, b) => a.lengthMs - b.lengthMs);
    let left = longer.reduce((sum, { weight }) => sum + weight, 0) / 2;
    for (const { lengthMs, weight } of longer) {
      left -= weight;
      if (left <= 0) return lengthMs - ageMs;
    }
    return Math.max(0, ageMs);
  }

  #lengths(): Weighted[] {
    const seen = this.#lengthsMs.map((lengthMs, index) => ({
      lengthMs,
      weight: olderWeight ** index,
    }));
    return [...seen, { lengthMs: priorLengthMs, weight: priorWeight }]
      .flatMap(({ lengthMs, weight }) =>
        spread.map(([factor, share]) => ({
          lengthMs: lengthMs * factor,
          weight: weight * share,
        }))
      );
  }
}
