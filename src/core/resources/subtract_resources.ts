import type { Resources } from "../../schema/resources.ts";

/** The first amount less the second. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli - b.cpuMilli,
    memoryBytes: a.memoryBytes - b.memoryBytes,
    accelerators: a.accelerators - b.accelerators,
  };
}
