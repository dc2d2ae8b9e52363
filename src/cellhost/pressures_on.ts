import { fillerUse } from "../core/cell/filler_use.ts";
import type { Worker } from "../core/cell/worker.ts";
import type { PairPressure } from "../core/interfere/pair_pressure.ts";
import type { Pressure } from "../link/pressure.ts";

/** What is known of how the worker's fillers press on its services. */
export function pressuresOn(worker: Worker, known: PairPressure): Pressure[] {
  const services = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, image = "" } = group.definition;
    if (isService) services.add(image);
  }
  const pressures: Pressure[] = [];
  for (const service of services) {
    for (const filler of fillerUse(worker).keys()) {
      const pressure = known.of(service, filler);
      if (pressure > 0) pressures.push([service, filler, pressure]);
    }
  }
  return pressures;
}
