import type { FillerView } from "./filler_view.ts";
import type { ServiceView } from "./service_view.ts";

/** A service over this part of its target makes fillers give way. */
const giveWayFrom = 0.97;
/** Below this part of its target a service lets fillers speed up. */
const speedUpBelow = 0.8;
const giveWayFactor = 0.5;
const farOverPart = 2;
const farOverFactor = 0.2;
const speedUpPercent = 25;
/** From here fillers stop altogether rather than crawl. */
const stopBelowPercent = 12;
/** An image that presses less than this part of the worst is let be. */
const culpritPart = 0.3;
/** After so long over its target a service makes all fillers give way. */
const allGiveWayMs = 1_800;

/**
 * How fast each filler image may run beside a worker's services. The images
 * that press on a service that nears its target give way by halves; they speed
 * up by steps once the services they press on are at ease.
 */
export class FillerPace {
  readonly #percents = new Map<string, number>();
  #overSinceMs: number | undefined;

  /** The pace of an image. */
  of(image: string): number {
    return this.#percents.get(image) ?? 100;
  }

  /** Forgets all paces. */
  clear(): void {
    this.#percents.clear();
    this.#overSinceMs = undefined;
  }

  /** Takes in how the services do; sets the paces anew. */
  observe(
    services: readonly ServiceView[],
    fillers: readonly FillerView[],
    nowMs: number,
  ): void {
    const isOver = services.some(({ part }) => part > giveWayFrom);
    this.#overSinceMs = isOver ? this.#overSinceMs ?? nowMs : undefined;
    const isLong = this.#overSinceMs !== undefined &&
      nowMs - this.#overSinceMs >= allGiveWayMs;
    const pressed = new Set<string>();
    for (const service of services) {
      if (service.part <= giveWayFrom) continue;
      const culprits = isLong
        ? fillers.map(({ image }) => image)
        : culpritsOf(service, fillers);
      const factor = service.part >= farOverPart
        ? farOverFactor
        : giveWayFactor;
      for (const image of new Set(culprits)) {
        if (pressed.has(image)) continue;
        pressed.add(image);
        this.#slow(image, factor);
      }
    }
    for (const image of this.#percents.keys()) {
      if (pressed.has(image) || isLong) continue;
      const isEased = services.every(({ part, pressures }) =>
        part < speedUpBelow || (pressures.get(image) ?? 0) === 0
      );
      if (isEased) this.#speedUp(image);
    }
  }

  #slow(image: string, factor: number): void {
    const next = Math.round(this.of(image) * factor);
    this.#percents.set(image, next < stopBelowPercent ? 0 : next);
  }

  #speedUp(image: string): void {
    const next = this.of(image) + speedUpPercent;
    if (next >= 100) this.#percents.delete(image);
    else this.#percents.set(image, next);
  }
}

/** The images that press on the service most; all where none is known to. */
function culpritsOf(
  { pressures }: ServiceView,
  fillers: readonly FillerView[],
): string[] {
  const presses = fillers.map(({ image, use }) => ({
    image,
    press: (pressures.get(image) ?? 0) * use,
  }));
  const worst = Math.max(0, ...presses.map(({ press }) => press));
  return presses.filter(({ press }) => press >= worst * culpritPart)
    .map(({ image }) => image);
}
