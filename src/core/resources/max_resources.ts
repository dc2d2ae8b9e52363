import type { Resources } from "../../schema/resources.ts";

/** The larger of two amounts of each resource. */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memoryBytes: Math.max(a.memoryBytes, b.memoryBytes),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}
