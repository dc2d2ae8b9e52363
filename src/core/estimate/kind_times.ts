import { RatioHistogram } from "./ratio_histogram.ts";
import type { RunTimeRow } from "./run_time_row.ts";

type KindRow = RunTimeRow["kinds"][number];

/** A sample of weight 1 loses half of its weight after so much weight more. */
const halfLifeWeight = 30;
/** The weight that declared times have against learned ones. */
const priorWeight = 2;
/**
 * How strongly the slope is held at 1, as the variance of declared times that a
 * sample of weight 1 would have.
 */
const slopePrior = 0.4;
const storedSteps = 1_000;

/**
 * The run times of one kind of task, by their declared times. A regression of
 * the logarithms gives how far declared times are trusted: a slope of 1 follows
 * them, one of 0 ignores them in favour of the kind's typical time. The ratios
 * to that are kept as a distribution, whose median single slow runs don't move.
 */
export class KindTimes {
  /** Sums of weight, x, y, x², xy, for x declared and y actual, as logs. */
  readonly #sums = [0, 0, 0, 0, 0];
  readonly #ratios = new RatioHistogram();

  /** How many steps' worth of samples it has. */
  get weight(): number {
    return this.#sums[0]!;
  }

  /** How far declared times are trusted, from 0 to 1. */
  get trust(): number {
    const [weight, x, y, xx, xy] = this.#sums as Sums;
    if (weight === 0) return 1;
    const variance = Math.max(0, xx - x * x / weight);
    const covariance = xy - x * y / weight;
    const slope = (covariance + slopePrior) / (variance + slopePrior);
    return Math.min(1, Math.max(0, slope));
  }

  /** Learns the actual time of a task that counts with a weight. */
  learn(declaredMs: number, actualMs: number, weight: number): void {
    const x = Math.log(declaredMs);
    const y = Math.log(actualMs);
    const keep = 2 ** (-weight / halfLifeWeight);
    this.#ratios.scale(keep);
    this.#ratios.add(y - this.#anchor(x), weight);
    [1, x, y, x * x, x * y].forEach((value, index) => {
      this.#sums[index] = this.#sums[index]! * keep + value * weight;
    });
  }

  /** Returns the time within which the share of the tasks end. */
  quantileMs(declaredMs: number, share: number): number {
    const logRatio = this.#ratios.quantile(share, priorWeight);
    return Math.exp(this.#anchor(Math.log(declaredMs)) + logRatio);
  }

  /** Returns its row, for `restore`. */
  encode(kind: string): KindRow {
    const weights = [...this.#ratios.weights].map(rounded);
    const first = Math.max(0, weights.findIndex((weight) => weight > 0));
    const last = weights.findLastIndex((weight) => weight > 0);
    const sums = this.#sums.map(rounded);
    return [kind, sums, first, weights.slice(first, last + 1)];
  }

  restore([, sums, firstBin, weights]: KindRow): void {
    sums.forEach((sum, index) => this.#sums[index] = sum);
    weights.forEach((weight, index) => {
      this.#ratios.weights[firstBin + index] = weight;
    });
  }

  /** The logarithm of the time to expect before the ratios correct it. */
  #anchor(x: number): number {
    const [weight, sumX] = this.#sums as Sums;
    if (weight === 0) return x;
    const { trust } = this;
    return trust * x + (1 - trust) * sumX / weight;
  }
}

type Sums = [number, number, number, number, number];

function rounded(value: number): number {
  return Math.round(value * storedSteps) / storedSteps;
}
