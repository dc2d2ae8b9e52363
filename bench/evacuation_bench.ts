import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";

/**
 * Evacuates one of four data centres under a load of the users' shape, on
 * virtual time, with the services at a share of their usual number.
 *
 *   node build/bench/evacuation_bench.mjs [WORKERS] [SEEDS]
 */
const workers = Number(process.argv[2] ?? 51);
const seeds = Number(process.argv[3] ?? 2);
const evacuation = { atMs: 20_000, zoneCount: 4 };

for (const share of [0.4, 0.7, 1]) {
  for (let seed = 1; seed <= seeds; seed++) {
    const load = siteLoad(seed, workers);
    const services = {
      ...load.services,
      jobs: Math.round(load.services.jobs * share),
    };
    const plans = { ...load.plans, bursts: [] };
    const startedAtMs = performance.now();
    const result = new LoadModel({ ...load, services, plans, evacuation })
      .run();
    const { clearedAfterMs, leftAfter5s } = result.evacuation;
    console.log(
      `workers=${workers} services=${share} seed=${seed} ` +
        `clearedAfterMs=${clearedAfterMs} leftAfter5s=${leftAfter5s} ` +
        `servicesAwayS=${result.services.awayS.toFixed(1)} ` +
        `plans=${result.plans.worth.toFixed(3)} ` +
        `checks=${result.checks.worth.toFixed(3)} ` +
        `tookS=${((performance.now() - startedAtMs) / 1_000).toFixed(1)}`,
    );
  }
}
