interface Pair {
  slowdown: number;
  samples: number;
  seenAtMs: number;
}

const smoothing = 0.15;
const mostSlowdown = 20;
const halfLifeMs = 600_000;
const samplesBefore = 5;
const mostPairs = 4_096;

/** Learns by how much a template's tasks slow a service on the same worker. */
export class SlowdownTable {
  readonly #pairs = new Map<string, Pair>();

  /**
   * Takes one late measurement: the service's latency over its usual one, with
   * these templates beside it. Each is blamed for what the others do not explain.
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
        (product, other) => product * this.of(service, other, nowMs),
        1,
      );
      const rest = Math.min(mostSlowdown, Math.max(1, ratio / explained));
      const pair = this.#pair(service, template, nowMs);
      pair.slowdown += (rest - pair.slowdown) * smoothing;
      pair.samples += 1;
      pair.seenAtMs = nowMs;
    }
  }

  /** The slowdown of the pair, 1 where nothing is known, fading with age. */
  of(service: string, template: string, nowMs: number): number {
    const pair = this.#pairs.get(keyOf(service, template));
    if (pair === undefined) return 1;
    const ageMs = Math.max(0, nowMs - pair.seenAtMs);
    return 1 + (pair.slowdown - 1) * 0.5 ** (ageMs / halfLifeMs);
  }

  /** Whether enough was measured of the pair to act on it. */
  isKnown(service: string, template: string): boolean {
    const pair = this.#pairs.get(keyOf(service, template));
    return (pair?.samples ?? 0) >= samplesBefore;
  }

  #pair(service: string, template: string, nowMs: number): Pair {
    const key = keyOf(service, template);
    const known = this.#pairs.get(key);
    if (known !== undefined) return known;
    const [oldest] = this.#pairs.keys();
    const isFull = this.#pairs.size >= mostPairs;
    if (isFull && oldest !== undefined) this.#pairs.delete(oldest);
    const pair = { slowdown: 1, samples: 0, seenAtMs: nowMs };
    this.#pairs.set(key, pair);
    return pair;
  }
}

function keyOf(service: string, template: string): string {
  return `${service} ${template}`;
}
