import type { Resources } from "../../schema/resources.ts";

/** The resources that a task reserves on its worker; fillers reserve no CPU. */
export function reservedResources(
  { resources, isFiller }: {
    readonly resources: Resources;
    readonly isFiller: boolean;
  },
): Resources {
  return isFiller ? { ...resources, cpuMilli: 0 } : resources;
}
