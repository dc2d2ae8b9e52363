import type { LoadOptions } from "./load_options.ts";
import { siteLoad } from "./site_load.ts";

const jobsPerWorker = 0.34;
const plansPerWorkerS = 0.0465;
const checksPerWorkerS = 0.0886;

/**
 * A load of fewer and wider jobs, for a number of workers of 32 cores: services
 * reserve four fifths of the processors, and plans are short for their width.
 */
export function shiftedLoad(
  seed: number,
  workers: number,
  change: Partial<LoadOptions> = {},
): LoadOptions {
  return siteLoad(seed, workers, {
    durationMs: 34_000,
    services: {
      jobs: Math.max(1, Math.round(workers * jobsPerWorker)),
      width: 14,
      cpuMilli: 6_400,
      images: 10,
      callerLoad: 0.42,
      swing: 0.6,
      swingMs: 10_000,
    },
    plans: {
      perS: workers * plansPerWorkerS,
      steps: 2,
      width: 20,
      cpuMilli: 3_500,
      taskMs: 2_430,
      images: 18,
      heavyShare: 0.65,
      maxPressure: 5,
      bursts: [{ fromMs: 13_000, forMs: 6_000, factor: 1.3 }],
    },
    checks: {
      perS: workers * checksPerWorkerS,
      width: 16,
      cpuMilli: 800,
      taskMs: 1_430,
    },
    ...change,
  });
}
