import type { LoadOptions } from "./load_options.ts";

const servicesPerWorker = 0.82;
const plansPerWorkerS = 0.076;
const checksPerWorkerS = 0.35;

/**
 * A load of the shape of the users' deployments, for a number of workers of 32
 * cores: services reserve three quarters of the processors and use less than
 * half of that, and plans could use most of the rest.
 */
export function siteLoad(
  seed: number,
  workers: number,
  change: Partial<LoadOptions> = {},
): LoadOptions {
  return {
    seed,
    durationMs: 50_000,
    workers,
    workerCpuMilli: 32_000,
    services: {
      jobs: Math.max(1, Math.round(workers * servicesPerWorker)),
      width: 5,
      cpuMilli: 6_200,
      images: Math.min(16, 3 + Math.round(workers / 6)),
      callerLoad: 0.42,
      swing: 0.5,
      swingMs: 10_000,
    },
    plans: {
      perS: workers * plansPerWorkerS,
      steps: 2,
      width: 8,
      cpuMilli: 3_500,
      taskMs: 3_100,
      images: Math.min(30, 7 + Math.round(workers / 6)),
      heavyShare: 0.65,
      maxPressure: 5,
      bursts: [{ fromMs: 16_000, forMs: 6_000, factor: 2.6 }],
    },
    checks: {
      perS: workers * checksPerWorkerS,
      width: 10,
      cpuMilli: 480,
      taskMs: 1_100,
    },
    keeperChangesAtMs: [],
    powerLossesAtMs: [],
    keepsLearned: true,
    knowsPressures: false,
    checksForecast: false,
    parties: [],
    admits: false,
    sharesFairly: false,
    ...change,
  };
}
