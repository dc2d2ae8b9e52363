import type { FillerUse } from "./filler_use.ts";

/** How far a pressure may be off before anything was seen of it. */
const firstVariance = 4;
/** Pressures change: what was seen of one is worth less after each sample. */
const driftVariance = 0.01;

/**
 * The pressures of filler images on one service image, by recursive least
 * squares: a sample moves each pressure by how unsure it still is, so that an
 * image beside which a service was often at ease is not blamed for another's.
 */
export class ImagePressures {
  readonly #index = new Map<string, number>();
  readonly #values: number[] = [];
  readonly #variances: number[][] = [];

  /** The pressure of an image; 0 where unknown. */
  of(image: string): number {
    const at = this.#index.get(image);
    return at === undefined ? 0 : this.#values[at] ?? 0;
  }

  /** What the images add to the service's load. */
  sum(use: FillerUse): number {
    let sum = 0;
    for (const [image, used] of use) sum += this.of(image) * used;
    return sum;
  }

  /** How unsure `sum` is, as a variance. */
  doubt(use: FillerUse): number {
    const spread = this.#spread(use);
    let doubt = 0;
    for (const [image, used] of use) {
      doubt += used * (spread[this.#at(image)] ?? 0);
    }
    return doubt;
  }

  /** Takes in by how much a sample was off, of that total variance. */
  correct(use: FillerUse, error: number, variance: number): void {
    const spread = this.#spread(use);
    const gains = spread.map((each) => each / variance);
    gains.forEach((gain, row) => {
      this.#values[row] = Math.max(0, (this.#values[row] ?? 0) + gain * error);
      const variances = this.#variances[row]!;
      spread.forEach((each, column) => {
        variances[column] = (variances[column] ?? 0) - gain * each;
      });
    });
    for (const image of use.keys()) {
      const at = this.#at(image);
      const known = this.#variances[at]![at] ?? 0;
      this.#variances[at]![at] = Math.min(firstVariance, known + driftVariance);
    }
  }

  /** The product of variances and use. */
  #spread(use: FillerUse): number[] {
    const columns = [...use].map(([image, used]) =>
      [this.#at(image), used] as const
    );
    return this.#variances.map((row) => {
      let sum = 0;
      for (const [column, used] of columns) sum += (row[column] ?? 0) * used;
      return sum;
    });
  }

  #at(image: string): number {
    const known = this.#index.get(image);
    if (known !== undefined) return known;
    const at = this.#index.size;
    this.#index.set(image, at);
    this.#values.push(0);
    for (const row of this.#variances) row.push(0);
    this.#variances.push(Array.from({ length: at + 1 }, () => 0));
    this.#variances[at]![at] = firstVariance;
    return at;
  }
}
