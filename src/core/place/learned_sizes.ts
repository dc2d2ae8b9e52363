import type { Resources } from "../../schema/resources.ts";
import type { TaskReport } from "../worker/task_report.ts";
import { maxResources } from "../resources/max_resources.ts";
import { noResources } from "../resources/no_resources.ts";

/** A learned size decays by this factor with each report. */
const decayFactor = 0.999;

/** Learns the actual peak usage of a template's tasks from delayed reports. */
export class LearnedSizes {
  readonly #peaks = new Map<string, Resources>();

  /** Adds the measured usage of one attempt of the template. */
  observe(template: string, report: TaskReport): void {
    const { usedCpuMilli = 0, usedMemoryBytes = 0 } = report;
    const before = this.#peaks.get(template) ?? noResources;
    const decayed: Resources = {
      cpuMilli: Math.floor(before.cpuMilli * decayFactor),
      memoryBytes: Math.floor(before.memoryBytes * decayFactor),
      accelerators: 0,
    };
    const measured = {
      cpuMilli: usedCpuMilli,
      memoryBytes: usedMemoryBytes,
      accelerators: 0,
    };
    this.#peaks.set(template, maxResources(decayed, measured));
  }

  /** What to reserve: the declared size, or the learned one where larger. */
  reservationFor(template: string, declared: Resources): Resources {
    return maxResources(declared, this.#peaks.get(template) ?? noResources);
  }
}
