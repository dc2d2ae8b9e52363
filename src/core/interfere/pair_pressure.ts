/** What a service's latency is of its target when nothing disturbs it. */
const firstRest = 0.45;
const leastRest = 0.2;
const mostRest = 0.7;
const restRate = 0.05;
/** Fillers that use less than this together leave a service at rest. */
const restUse = 0.01;
/** Below this part of its target a service is at ease. */
const easePart = 0.8;
/** From this part of its target on a service counts as pressed. */
const pressedPart = 0.95;
/** A filler that uses less than this says nothing by doing no harm. */
const tellingUse = 0.04;
/** How far one sample moves what is believed. */
const blameRate = 0.6;
const easeRate = 0.3;
/** Chance of the moment that a sample at ease is allowed. */
const easeSlack = 0.1;
/** What one sample at ease counts against later blame; and how much at most. */
const mostEased = 12;
const easedKept = 0.7;
/** A sample says no more than this, however high it is. */
const mostPart = 4;
const mostPressure = 60;
const mostServices = 256;

interface Pair {
  pressure: number;
  /** Samples at ease beside it, less what blame has taken away. */
  eased: number;
}

interface Learned {
  rest: number;
  readonly pairs: Map<string, Pair>;
}

/** The use that fillers make of a worker: image to part of its processors. */
type FillerUse = ReadonlyMap<string, number>;

/**
 * Learns which filler images press on which service images. The latency of a
 * service, as a part of its target, is taken as its rest and, for each filler
 * image beside it, pressure times use. A pressed service blames the images
 * beside it, least those beside which it was mostly at ease; a service at ease
 * bounds what each of them can press. Blame goes fast and ease slowly, since
 * latency climbs steeply once it climbs.
 */
export class PairPressure {
  readonly #services = new Map<string, Learned>();

  /** Takes in one sample of a service. */
  learn(service: string, part: number, use: FillerUse): void {
    const learned = this.#of(service);
    let all = 0;
    for (const used of use.values()) all += used;
    if (all < restUse) {
      learned.rest += (part - learned.rest) * restRate;
      learned.rest = Math.min(mostRest, Math.max(leastRest, learned.rest));
    } else if (part <= easePart) {
      ease(learned, part, this.expect(service, use), use);
    } else if (part >= pressedPart) this.#blame(service, learned, part, use);
  }

  /** The part of its target that a service's latency should come to. */
  expect(service: string, use: FillerUse): number {
    const { rest, pairs } = this.#of(service);
    let part = rest;
    for (const [image, used] of use) {
      part += (pairs.get(image)?.pressure ?? 0) * used;
    }
    return part;
  }

  /** How much a filler image presses on a service image; 0 where unknown. */
  of(service: string, image: string): number {
    return this.#services.get(service)?.pairs.get(image)?.pressure ?? 0;
  }

  #blame(
    service: string,
    learned: Learned,
    part: number,
    use: FillerUse,
  ): void {
    const missing = Math.min(part, mostPart) - this.expect(service, use);
    if (missing <= 0) return;
    let whole = 0;
    for (const [image, used] of use) {
      whole += used * used * doubt(pairOf(learned, image));
    }
    if (whole <= 0) return;
    for (const [image, used] of use) {
      const pair = pairOf(learned, image);
      const share = used * doubt(pair) / whole;
      const next = pair.pressure + blameRate * missing * share;
      pair.pressure = Math.min(mostPressure, next);
      pair.eased *= easedKept;
    }
  }

  #of(service: string): Learned {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const [oldest] = this.#services.keys();
    const isFull = this.#services.size >= mostServices;
    if (isFull && oldest !== undefined) this.#services.delete(oldest);
    const learned = { rest: firstRest, pairs: new Map<string, Pair>() };
    this.#services.set(service, learned);
    return learned;
  }
}

/** A service at ease bounds what the images beside it press together. */
function ease(
  learned: Learned,
  part: number,
  expected: number,
  use: FillerUse,
): void {
  const excess = expected - part - easeSlack;
  let whole = 0;
  for (const used of use.values()) whole += used * used;
  for (const [image, used] of use) {
    if (used < tellingUse) continue;
    const pair = pairOf(learned, image);
    pair.eased = Math.min(mostEased, pair.eased + 1);
    if (excess <= 0) continue;
    const next = pair.pressure - easeRate * excess * used / whole;
    pair.pressure = Math.max(0, next);
  }
}

function doubt({ eased }: Pair): number {
  return 1 / (1 + eased);
}

function pairOf(learned: Learned, image: string): Pair {
  const known = learned.pairs.get(image);
  if (known !== undefined) return known;
  const pair = { pressure: 0, eased: 0 };
  learned.pairs.set(image, pair);
  return pair;
}
