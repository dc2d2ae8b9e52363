/** What a service's latency is of its target when nothing disturbs it. */
const firstRest = 0.45;
const leastRest = 0.2;
const mostRest = 0.7;
/** How far one sample moves what is believed. */
const learnRate = 0.35;
const restRate = 0.03;
/** Keeps a sample with little use of the processors from moving much. */
const damping = 0.01;
/** A sample says no more than this, however high it is. */
const mostPart = 4;
const mostPressure = 60;
const mostServices = 256;

interface Learned {
  rest: number;
  readonly pressures: Map<string, number>;
}

/** The use that fillers make of a worker: image to part of its processors. */
type FillerUse = ReadonlyMap<string, number>;

/**
 * Learns which filler images press on which service images. The latency of a
 * service, as a part of its target, is taken as its rest and, for each filler
 * image beside it, pressure times use; samples correct both, and pressures
 * stay at zero or above.
 */
export class PairPressure {
  readonly #services = new Map<string, Learned>();

  /** Takes in one sample of a service. */
  learn(service: string, part: number, use: FillerUse): void {
    const learned = this.#of(service);
    const error = Math.min(part, mostPart) - this.expect(service, use);
    let weight = damping;
    for (const used of use.values()) weight += used * used;
    learned.rest += error * restRate * damping / weight;
    learned.rest = Math.min(mostRest, Math.max(leastRest, learned.rest));
    for (const [image, used] of use) {
      const known = learned.pressures.get(image) ?? 0;
      const next = known + learnRate * error * used / weight;
      learned.pressures.set(image, Math.min(mostPressure, Math.max(0, next)));
    }
  }

  /** The part of its target that a service's latency should come to. */
  expect(service: string, use: FillerUse): number {
    const { rest, pressures } = this.#of(service);
    let part = rest;
    for (const [image, used] of use) part += (pressures.get(image) ?? 0) * used;
    return part;
  }

  /** How much a filler image presses on a service image; 0 where unknown. */
  of(service: string, image: string): number {
    return this.#services.get(service)?.pressures.get(image) ?? 0;
  }

  #of(service: string): Learned {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const [oldest] = this.#services.keys();
    const isFull = this.#services.size >= mostServices;
    if (isFull && oldest !== undefined) this.#services.delete(oldest);
    const learned = { rest: firstRest, pressures: new Map<string, number>() };
    this.#services.set(service, learned);
    return learned;
  }
}
