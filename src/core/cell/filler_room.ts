import type { PairPressure } from "../interfere/pair_pressure.ts";
import type { Worker } from "./worker.ts";

/** What a worker's fillers ask for, and what others leave them. */
interface FillerRoom {
  readonly askedMilli: number;
  readonly unusedMilli: number;
}

/**
 * The processors that fillers share on a worker, in thousandths. A service uses
 * the part of what it reserves that its load is; other tasks use it all.
 */
export function fillerRoom(worker: Worker, known: PairPressure): FillerRoom {
  let askedMilli = 0;
  let usedMilli = 0;
  for (const { group } of worker.claims.values()) {
    const { isFiller, isService, resources, targetLatencyMs } =
      group.definition;
    const { cpuMilli } = resources;
    if (isFiller) askedMilli += cpuMilli;
    else if (isService && targetLatencyMs > 0) {
      usedMilli += cpuMilli * known.loadOf(group.job.definition.id);
    } else usedMilli += cpuMilli;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  return { askedMilli, unusedMilli: Math.max(0, capacityMilli - usedMilli) };
}
