import type { Resources } from "../../schema/resources.ts";

/** Zero of every resource. */
export const noResources: Resources = {
  cpuMilli: 0,
  memoryBytes: 0,
  accelerators: 0,
};
