import type { Worker } from "../core/cell/worker.ts";
import type { PressureModel } from "../core/interfere/pressure_model.ts";
import type { ServicePressure } from "../link/service_pressure.ts";

/**
 * For each service image on the worker: what was learned of its latency when
 * idle, and how strongly each filler image on the worker interferes with it.
 */
export function servicePressures(
  worker: Worker,
  learned: PressureModel,
): ServicePressure[] {
  const services = new Set<string>();
  const images = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, isFiller, image = "" } = group.definition;
    if (isService) services.add(image);
    if (isFiller) images.add(image);
  }
  if (images.size === 0) return [];
  return [...services].map((service) => ({
    service,
    floor: learned.floorOf(service),
    fillers: [...images].map((image) =>
      [image, learned.pressureOf(service, image)] as const
    ),
  }));
}
