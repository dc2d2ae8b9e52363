import type { Resources } from "../../schema/resources.ts";

/** The sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli + b.cpuMilli,
    memoryBytes: a.memoryBytes + b.memoryBytes,
    accelerators: a.accelerators + b.accelerators,
  };
}
