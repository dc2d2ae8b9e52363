import type { Worker } from "./worker.ts";

/** What a worker's fillers ask for, and what others leave them. */
export interface FillerRoom {
  readonly askedMilli: number;
  readonly unusedMilli: number;
}

/** The processors that fillers share on a worker, in thousandths. */
export function fillerRoom(worker: Worker): FillerRoom {
  let askedMilli = 0;
  let usedMilli = 0;
  for (const task of worker.claims.values()) {
    const { isFiller, isService, resources } = task.group.definition;
    if (isFiller) askedMilli += resources.cpuMilli;
    else if (isService) usedMilli += resources.cpuMilli * worker.serviceLoad;
    else usedMilli += resources.cpuMilli;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  return { askedMilli, unusedMilli: Math.max(0, capacityMilli - usedMilli) };
}
