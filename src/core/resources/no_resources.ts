import type { Resources } from "../../schema/resources.ts";

/** Nothing of anything. */
export const noResources: Resources = {
  cpuMilli: 0,
  memoryBytes: 0,
  accelerators: 0,
};
