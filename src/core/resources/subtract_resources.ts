import type { Resources } from "../../schema/resources.ts";

/** What is left of the first amount without the second. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli - b.cpuMilli,
    memoryBytes: a.memoryBytes - b.memoryBytes,
    accelerators: a.accelerators - b.accelerators,
  };
}
