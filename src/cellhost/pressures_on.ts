import { fillerDemand } from "../core/cell/filler_demand.ts";
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
  const images = [...fillerDemand(worker).keys()];
  if (images.length === 0) return [];
  return [...services].map((service) => ({
    service,
    floor: known.floorOf(service),
    fillers: images.map((image) => [image, known.of(service, image)] as const),
  }));
}
