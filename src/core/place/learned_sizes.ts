import type { Resources } from "../../schema/resources.ts";
import type { TaskReport } from "../worker/task_report.ts";
import { maxResources } from "../resources/max_resources.ts";
import { noResources } from "../resources/no_resources.ts";

const keptPerCycle = 0.999;

/** Learns from lagging reports how much the tasks of a template really use. */
export class LearnedSizes {
  readonly #seen = new Map<string, Resources>();

  /** Takes in what an attempt of the template was seen to use. */
  observe(template: string, report: TaskReport): void {
    const { usedCpuMilli = 0, usedMemoryBytes = 0 } = report;
    const before = this.#seen.get(template) ?? noResources;
    const faded: Resources = {
      cpuMilli: Math.floor(before.cpuMilli * keptPerCycle),
      memoryBytes: Math.floor(before.memoryBytes * keptPerCycle),
      accelerators: 0,
    };
    const seen = {
      cpuMilli: usedCpuMilli,
      memoryBytes: usedMemoryBytes,
      accelerators: 0,
    };
    this.#seen.set(template, maxResources(faded, seen));
  }

  /** What to reserve: the declared size, raised by what was seen. */
  reserve(template: string, declared: Resources): Resources {
    return maxResources(declared, this.#seen.get(template) ?? noResources);
  }
}
