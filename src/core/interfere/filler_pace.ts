import type { FillerView } from "./filler_view.ts";
import { latencyLoad } from "./latency_load.ts";
import type { ServiceView } from "./service_view.ts";

/** Left free of the load at which a service is at its target. */
const loadMargin = 0.08;
/** An image that presses less is let be. */
const leastPressure = 0.15;
/** Known pressures explain a service over target from this load on. */
const tellingLoad = 0.08;
const giveWayFactor = 0.5;
/** How far a pace rises at once. */
const speedUpPercent = 30;
/** Below this fillers stop rather than crawl; changes under it are not told. */
const stopBelowPercent = 10;
const leastChangePercent = 8;
/** After so long over its target a service makes all fillers give way. */
const allGiveWayMs = 1_800;

/**
 * How fast each filler image may run beside a worker's services: as fast as
 * leaves each of them under its target, by what is known of how images press. A
 * service over target for which nothing known accounts halves all images.
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
    const isOver = services.some(({ part }) => part > 1);
    this.#overSinceMs = isOver ? this.#overSinceMs ?? nowMs : undefined;
    const isLong = this.#overSinceMs !== undefined &&
      nowMs - this.#overSinceMs >= allGiveWayMs;
    const wanted = new Map<string, number>();
    for (const { image } of fillers) wanted.set(image, 100);
    for (const service of services) {
      for (const [image, percent] of this.#bearable(service, fillers, isLong)) {
        wanted.set(image, Math.min(wanted.get(image) ?? 100, percent));
      }
    }
    for (const [image, percent] of wanted) this.#approach(image, percent);
    for (const image of this.#percents.keys()) {
      if (!wanted.has(image)) this.#percents.delete(image);
    }
  }

  /** The paces that one service bears. */
  *#bearable(
    service: ServiceView,
    fillers: readonly FillerView[],
    isLong: boolean,
  ): Generator<[image: string, percent: number]> {
    const { part, floor, pressures } = service;
    const pressing = fillers
      .map(({ image, used, asked }) => {
        const pressure = pressures.get(image) ?? 0;
        return {
          image,
          pressure,
          used: pressure * used,
          asked: pressure * asked,
        };
      })
      .filter(({ pressure }) => pressure >= leastPressure)
      .sort((a, b) => a.pressure - b.pressure);
    let usedLoad = 0;
    for (const { used } of pressing) usedLoad += used;
    const isOver = part > 1;
    if (isOver && (isLong || usedLoad < tellingLoad)) {
      for (const { image } of fillers) {
        yield [image, this.of(image) * giveWayFactor];
      }
      return;
    }
    const ownLoad = latencyLoad(part, floor) - usedLoad;
    let leftLoad = Math.max(0, latencyLoad(1, floor) - loadMargin - ownLoad);
    // The load that is left does most work with those that press least.
    for (const { image, asked } of pressing) {
      const share = asked <= leftLoad ? 1 : leftLoad / asked;
      leftLoad = Math.max(0, leftLoad - asked);
      yield [image, share * 100];
    }
  }

  #approach(image: string, wanted: number): void {
    const now = this.of(image);
    const next = Math.round(Math.min(wanted, now + speedUpPercent));
    if (next >= 100) this.#percents.delete(image);
    else if (next < stopBelowPercent) this.#percents.set(image, 0);
    else if (Math.abs(next - now) >= leastChangePercent) {
      this.#percents.set(image, next);
    }
  }
}
