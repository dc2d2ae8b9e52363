import type { ClassLoad } from "./class_load.ts";
import type { LoadSummary } from "./load_summary.ts";
import type { PoolLoad } from "./pool_load.ts";
import type { WaitingWork } from "./waiting_work.ts";

/** How many places in the order a summary holds; bounds its size. */
const maxPlaces = 16;

/** Summarizes the load on pools. Late work is left out: new work overtakes it. */
export function summarizeLoads(
  loads: ReadonlyMap<string, PoolLoad>,
  wallMs: number,
): LoadSummary {
  const pools = [...loads].map(([pool, load]) => ({
    pool,
    capacityMilli: Math.round(load.capacityMilli),
    freeMilli: Math.round(load.filler.freeMilli),
    classes: {
      reserved: summarizeClass(load.reserved),
      filler: summarizeClass(load.filler),
    },
  }));
  return { atMs: wallMs, pools };
}

type ClassSummary = LoadSummary["pools"][number]["classes"]["filler"];

function summarizeClass(load: ClassLoad): ClassSummary {
  let runningMilliMs = 0;
  for (const { cpuMilli, remainingMs } of load.running) {
    runningMilliMs += cpuMilli * remainingMs;
  }
  return {
    capacityMilli: Math.round(load.capacityMilli),
    freeMilli: Math.round(load.freeMilli),
    runningMilliMs: Math.round(runningMilliMs),
    places: placesOf(load.waiting),
  };
}

/**
 * Steps of equal work. Each stands for the work up to its place, so the step
 * below a new job's place never holds more than what is ahead of it.
 */
function placesOf(waiting: readonly WaitingWork[]): ClassSummary["places"] {
  const timely = waiting.filter(({ band }) => band <= 1)
    .sort((a, b) => a.priority - b.priority || a.rankMs - b.rankMs);
  let allMilliMs = 0;
  for (const { milliMs } of timely) allMilliMs += milliMs;
  const places: [number, number, number][] = [];
  let sumMilliMs = 0;
  for (const { priority, rankMs, milliMs } of timely) {
    sumMilliMs += milliMs;
    const isStep = sumMilliMs >= allMilliMs * (places.length + 1) / maxPlaces;
    if (!isStep) continue;
    places.push([priority, Math.round(rankMs), Math.round(sumMilliMs)]);
  }
  return places;
}
