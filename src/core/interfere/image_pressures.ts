import type { FillerUse } from "./filler_use.ts";
import { unknownPressure } from "./unknown_pressure.ts";

/** Variance of a pressure before any sample of it. */
const initialVariance = 2;
/** Added per sample: pressures change, so that old samples lose their value. */
const driftVariance = 0.002;
/** How many images' pressures are estimated jointly. */
const maxJointImages = 32;
/** How many other images' estimates are kept, each independent of the others. */
const maxSettledImages = 256;

interface Estimate {
  readonly pressure: number;
  readonly variance: number;
}

/**
 * Estimates the pressures of filler images on one service image by recursive
 * least squares. A sample changes each pressure in proportion to its remaining
 * uncertainty. So an image that often ran without harm to the service is not
 * blamed for another one. Memory is bounded: only the images sampled last have a
 * covariance matrix, and the estimates of the others are independent.
 */
export class ImagePressures {
  /** The rows of the images that are estimated jointly. */
  readonly #index = new Map<string, number>();
  readonly #values: number[] = [];
  /** The covariance matrix of the pressures. */
  readonly #covariances: number[][] = [];
  /** The estimates of the other images; the one settled first is first. */
  readonly #settled = new Map<string, Estimate>();

  /** Returns the pressure of an image. */
  pressureOf(image: string): number {
    const index = this.#index.get(image);
    return index === undefined
      ? this.#settled.get(image)?.pressure ?? unknownPressure
      : this.#values[index] ?? unknownPressure;
  }

  /** Returns the variance of the estimate of an image's pressure. */
  varianceOf(image: string): number {
    const index = this.#index.get(image);
    if (index === undefined) {
      return this.#settled.get(image)?.variance ?? initialVariance;
    }
    return this.#covariances[index]?.[index] ?? initialVariance;
  }

  /** Sets the estimate of an image's pressure, independent of the others. */
  set(image: string, pressure: number, variance: number): void {
    const index = this.#index.get(image);
    if (index === undefined) {
      this.#settle(image, { pressure, variance });
      return;
    }
    this.#values[index] = pressure;
    for (const row of this.#covariances) row[index] = 0;
    this.#covariances[index]!.fill(0);
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
    const joint = this.#joint(use);
    const product = this.#covarianceTimes(joint);
    let variance = 0;
    for (const [index, used] of joint) variance += used * (product[index] ?? 0);
    return variance;
  }

  /** Corrects the pressures by a sample's error, given its total variance. */
  update(use: FillerUse, error: number, variance: number): void {
    const joint = this.#joint(use);
    const product = this.#covarianceTimes(joint);
    const gains = product.map((each) => each / variance);
    gains.forEach((gain, row) => {
      this.#values[row] = Math.max(0, (this.#values[row] ?? 0) + gain * error);
      const covariances = this.#covariances[row]!;
      product.forEach((each, column) => {
        covariances[column] = (covariances[column] ?? 0) - gain * each;
      });
    });
    for (const [index] of joint) {
      const known = this.#covariances[index]![index] ?? 0;
      this.#covariances[index]![index] = Math.min(
        initialVariance,
        known + driftVariance,
      );
    }
  }

  /** Multiplies the covariance matrix by the use. */
  #covarianceTimes(joint: readonly (readonly [number, number])[]): number[] {
    return this.#covariances.map((row) => {
      let sum = 0;
      for (const [column, used] of joint) sum += (row[column] ?? 0) * used;
      return sum;
    });
  }

  /**
   * Returns the row and use of each image, those used most if there are more
   * than can be estimated jointly. They become the images sampled last.
   */
  #joint(use: FillerUse): (readonly [index: number, used: number])[] {
    const images = use.size <= maxJointImages
      ? [...use]
      : [...use].sort((a, b) => b[1] - a[1]).slice(0, maxJointImages);
    for (const [image] of images) {
      const index = this.#index.get(image);
      if (index === undefined) continue;
      this.#index.delete(image);
      this.#index.set(image, index);
    }
    return images.map(([image, used]) => [this.#indexOf(image), used] as const);
  }

  /** Returns the image's row; a new one takes that of the one sampled longest ago. */
  #indexOf(image: string): number {
    const known = this.#index.get(image);
    if (known !== undefined) return known;
    const { pressure, variance } = this.#settled.get(image) ??
      { pressure: unknownPressure, variance: initialVariance };
    this.#settled.delete(image);
    const index = this.#index.size < maxJointImages
      ? this.#addRow()
      : this.#freeRow();
    this.#index.set(image, index);
    this.#values[index] = pressure;
    this.#covariances[index]![index] = variance;
    return index;
  }

  #addRow(): number {
    const index = this.#index.size;
    for (const row of this.#covariances) row.push(0);
    this.#covariances.push(Array.from({ length: index + 1 }, () => 0));
    return index;
  }

  /** Settles the image sampled longest ago, and returns its row, cleared. */
  #freeRow(): number {
    const [[oldest, index] = ["", 0]] = this.#index;
    const pressure = this.pressureOf(oldest);
    const variance = this.varianceOf(oldest);
    this.#index.delete(oldest);
    this.#settle(oldest, { pressure, variance });
    for (const row of this.#covariances) row[index] = 0;
    this.#covariances[index]!.fill(0);
    return index;
  }

  #settle(image: string, estimate: Estimate): void {
    this.#settled.delete(image);
    const [oldest] = this.#settled.keys();
    if (this.#settled.size >= maxSettledImages && oldest !== undefined) {
      this.#settled.delete(oldest);
    }
    this.#settled.set(image, estimate);
  }
}
