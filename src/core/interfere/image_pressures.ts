import type { FillerUse } from "./filler_use.ts";
import { unknownPressure } from "./unknown_pressure.ts";

/** Variance of a pressure before any sample of it. */
const initialVariance = 2;
/** Added per sample: pressures change, so that old samples lose their value. */
const driftVariance = 0.002;

/**
 * Estimates the pressures of filler images on one service image by recursive
 * least squares. A sample changes each pressure in proportion to its remaining
 * uncertainty. So an image that often ran without harm to the service is not
 * blamed for another one.
 */
export class ImagePressures {
  readonly #index = new Map<string, number>();
  readonly #values: number[] = [];
  /** The covariance matrix of the pressures. */
  readonly #covariances: number[][] = [];

  /** Returns the pressure of an image. */
  pressureOf(image: string): number {
    const index = this.#index.get(image);
    return index === undefined
      ? unknownPressure
      : this.#values[index] ?? unknownPressure;
  }

  /** Returns the variance of the estimate of an image's pressure. */
  varianceOf(image: string): number {
    const index = this.#index.get(image);
    if (index === undefined) return initialVariance;
    return this.#covariances[index]?.[index] ?? initialVariance;
  }

  /** Sets the estimate of an image's pressure, independent of the others. */
  set(image: string, pressure: number, variance: number): void {
    const index = this.#indexOf(image);
    this.#values[index] = pressure;
    this.#covariances[index]![index] = variance;
  }

  /** Returns the load that the images add to the service. */
  addedLoad(use: FillerUse): number {
    let sum = 0;
    for (const [image, used] of use) sum += this.pressureOf(image) * used;
    return sum;
  }

  /** Returns the variance of the load that the images add to the service. */
  loadVariance(use: FillerUse): number {
    const product = this.#covarianceTimes(use);
    let variance = 0;
    for (const [image, used] of use) {
      variance += used * (product[this.#indexOf(image)] ?? 0);
    }
    return variance;
  }

  /** Corrects the pressures by a sample's error, given its total variance. */
  update(use: FillerUse, error: number, variance: number): void {
    const product = this.#covarianceTimes(use);
    const gains = product.map((each) => each / variance);
    gains.forEach((gain, row) => {
      this.#values[row] = Math.max(0, (this.#values[row] ?? 0) + gain * error);
      const covariances = this.#covariances[row]!;
      product.forEach((each, column) => {
        covariances[column] = (covariances[column] ?? 0) - gain * each;
      });
    });
    for (const image of use.keys()) {
      const index = this.#indexOf(image);
      const known = this.#covariances[index]![index] ?? 0;
      this.#covariances[index]![index] = Math.min(
        initialVariance,
        known + driftVariance,
      );
    }
  }

  /** Multiplies the covariance matrix by the use. */
  #covarianceTimes(use: FillerUse): number[] {
    const columns = [...use].map(([image, used]) =>
      [this.#indexOf(image), used] as const
    );
    return this.#covariances.map((row) => {
      let sum = 0;
      for (const [column, used] of columns) sum += (row[column] ?? 0) * used;
      return sum;
    });
  }

  /** Returns the image's row; adds one for a new image. */
  #indexOf(image: string): number {
    const known = this.#index.get(image);
    if (known !== undefined) return known;
    const index = this.#index.size;
    this.#index.set(image, index);
    this.#values.push(unknownPressure);
    for (const row of this.#covariances) row.push(0);
    this.#covariances.push(Array.from({ length: index + 1 }, () => 0));
    this.#covariances[index]![index] = initialVariance;
    return index;
  }
}
