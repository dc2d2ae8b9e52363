import type { PressureModel } from "../interfere/pressure_model.ts";
import { fillerCpuBudget } from "./filler_cpu_budget.ts";
import { fillerCpuDemands } from "./filler_cpu_demands.ts";
import type { FillerFigures } from "./filler_figures.ts";
import type { Worker } from "./worker.ts";

interface CachedFigures {
  readonly claimVersion: number;
  readonly figures: FillerFigures;
}

/**
 * The workers as placement of fillers sees them at one moment. A worker's
 * figures are computed once and again after its claims have changed. Statuses,
 * phases and pressures must not change while it is used.
 */
export class FillerView {
  readonly #cache = new Map<Worker, CachedFigures>();

  constructor(readonly pressure: PressureModel, readonly nowMs: number) {}

  figuresOf(worker: Worker): FillerFigures {
    const { claimVersion } = worker;
    const cached = this.#cache.get(worker);
    if (cached?.claimVersion === claimVersion) return cached.figures;
    const figures = this.#compute(worker);
    this.#cache.set(worker, { claimVersion, figures });
    return figures;
  }

  #compute(worker: Worker): FillerFigures {
    const { pressure, nowMs } = this;
    const demands = fillerCpuDemands(worker, nowMs);
    const services: FillerFigures["services"][number][] = [];
    for (const { group } of worker.claims.values()) {
      const { isService, targetLatencyMs, image = "" } = group.definition;
      if (!isService || targetLatencyMs === 0) continue;
      services.push({
        image,
        callerLoad: pressure.callerLoadOf(group.job.definition.id),
        targetLoad: pressure.targetLoadOf(image),
        pressures: [...demands.keys()].map((filler) =>
          pressure.pressureOf(image, filler)
        ),
      });
    }
    const budget = fillerCpuBudget(worker, pressure, nowMs);
    return { demands, ...budget, services };
  }
}
