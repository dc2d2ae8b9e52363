/** Bins per factor of e; a bin spans a factor of 1.13. */
const binsPerUnit = 8;
/** Ratios are kept from 1/55 to 55, which is e to the power of this. */
const maxLogRatio = 4;

/** A bounded log histogram of ratios, with weights that decay. */
export class RatioHistogram {
  static readonly binCount = 2 * maxLogRatio * binsPerUnit + 1;
  readonly weights = new Float64Array(RatioHistogram.binCount);

  /** Adds the logarithm of a ratio. */
  add(logRatio: number, weight: number): void {
    const bin = Math.round((logRatio + maxLogRatio) * binsPerUnit);
    const bounded = Math.min(RatioHistogram.binCount - 1, Math.max(0, bin));
    this.weights[bounded]! += weight;
  }

  /** Multiplies all weights. */
  scale(factor: number): void {
    for (let bin = 0; bin < this.weights.length; bin++) {
      this.weights[bin]! *= factor;
    }
  }

  /**
   * Returns the logarithm of the ratio below which the share of the weight
   * lies, with a prior of the given weight at the ratio 1.
   */
  quantile(share: number, priorWeight: number): number {
    const priorBin = maxLogRatio * binsPerUnit;
    let total = priorWeight;
    for (const weight of this.weights) total += weight;
    let below = 0;
    for (let bin = 0; bin < this.weights.length; bin++) {
      const weight = this.weights[bin]! + (bin === priorBin ? priorWeight : 0);
      below += weight;
      if (weight === 0 || below < share * total) continue;
      const part = 1 - (below - share * total) / weight;
      return (bin + part - 0.5) / binsPerUnit - maxLogRatio;
    }
    return 0;
  }
}
