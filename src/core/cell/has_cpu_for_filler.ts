import type { FillerFigures } from "./filler_figures.ts";
import type { Task } from "./task.ts";

/** The share of its requested CPU that a filler must get in strict mode. */
const minFillerCpuShare = 0.85;

/** Whether a worker has the CPU that a filler must get in strict mode. */
export function hasCpuForFiller(
  { group }: Task,
  { demandedMilli, unusedMilli }: FillerFigures,
): boolean {
  const { cpuMilli } = group.definition.resources;
  return demandedMilli + cpuMilli * minFillerCpuShare <= unusedMilli;
}
