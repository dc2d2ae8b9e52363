interface Pair {
  /** Factor on the service's usual latency. */
  slowdown: number;
  samples: number;
  seenAtMs: number;
}

const smoothing = 0.15;
const maxSlowdown = 20;
/** In this time without samples, half of a slowdown is forgotten. */
const halfLifeMs = 600_000;
/** Samples of a pair that must precede action on it. */
const minSamples = 5;
const maxPairs = 4_096;

/** Learns by how much a template's tasks slow a service on the same worker. */
export class SlowdownTable {
  readonly #pairs = new Map<string, Pair>();

  /**
   * Records one measurement: the service's latency relative to its usual one
   * while tasks of these templates ran beside it. Each template is charged with
   * what the known slowdowns of the others do not explain.
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
      const rest = Math.min(maxSlowdown, Math.max(1, ratio / explained));
      const pair = this.#pair(service, template, nowMs);
      pair.slowdown += (rest - pair.slowdown) * smoothing;
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

  /** Returns the pair; a new one replaces the oldest if the table is full. */
  #pair(service: string, template: string, nowMs: number): Pair {
    const key = keyOf(service, template);
    const known = this.#pairs.get(key);
    if (known !== undefined) return known;
    const [oldest] = this.#pairs.keys();
    const isFull = this.#pairs.size >= maxPairs;
    if (isFull && oldest !== undefined) this.#pairs.delete(oldest);
    const pair = { slowdown: 1, samples: 0, seenAtMs: nowMs };
    this.#pairs.set(key, pair);
    return pair;
  }
}

function keyOf(service: string, template: string): string {
  return `${service} ${template}`;
}
