interface Pair {
  /** Factor on the service's usual latency. */
  slowdown: number;
  samples: number;
  seenAtMs: number;
}

/** Weight of the newest sample in the moving average of a slowdown. */
const smoothing = 0.15;
const maxSlowdown = 20;
/** A slowdown without new samples falls by half in this time. */
const halfLifeMs = 600_000;
/** How many samples of a pair are needed before it is acted on. */
const minSamples = 5;
const maxPairs = 4_096;

/** Learns by how much a template's tasks slow a service on the same worker. */
export class SlowdownTable {
  readonly #pairs = new Map<string, Pair>();

  /**
   * Records one measurement: the service's latency relative to its usual one
   * while tasks of these templates ran beside it. Each template's slowdown is
   * updated by what the known slowdowns of the others do not explain.
   */
  observe(
    service: string,
    templates: readonly string[],
    ratio: number,
    nowMs: number,
  ): void {
    for (const template of templates) {
      const others = templates.filter((other) => other !== template);
      const explained = others.reduce(
        (product, other) => product * this.slowdownOf(service, other, nowMs),
        1,
      );
      const residual = Math.min(maxSlowdown, Math.max(1, ratio / explained));
      const pair = this.#pair(service, template, nowMs);
      pair.slowdown += (residual - pair.slowdown) * smoothing;
      pair.samples += 1;
      pair.seenAtMs = nowMs;
    }
  }

  /** Returns the slowdown of the pair, which decays to 1; 1 if unknown. */
  slowdownOf(service: string, template: string, nowMs: number): number {
    const pair = this.#pairs.get(keyOf(service, template));
    if (pair === undefined) return 1;
    const ageMs = Math.max(0, nowMs - pair.seenAtMs);
    return 1 + (pair.slowdown - 1) * 0.5 ** (ageMs / halfLifeMs);
  }

  /** Whether the pair has enough samples to act on. */
  hasEnoughSamples(service: string, template: string): boolean {
    const pair = this.#pairs.get(keyOf(service, template));
    return (pair?.samples ?? 0) >= minSamples;
  }

  /** Returns the pair; if the table is full, a new one replaces the first. */
  #pair(service: string, template: string, nowMs: number): Pair {
    const key = keyOf(service, template);
    const known = this.#pairs.get(key);
    if (known !== undefined) return known;
    const [first] = this.#pairs.keys();
    const isFull = this.#pairs.size >= maxPairs;
    if (isFull && first !== undefined) this.#pairs.delete(first);
    const pair = { slowdown: 1, samples: 0, seenAtMs: nowMs };
    this.#pairs.set(key, pair);
    return pair;
  }
}

function keyOf(service: string, template: string): string {
  return `${service} ${template}`;
}
