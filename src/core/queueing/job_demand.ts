import type { CpuClass } from "./cpu_class.ts";
import type { WaitingWork } from "./waiting_work.ts";

/** What a job that is submitted now needs, and its place in the order. */
export interface JobDemand extends WaitingWork {
  readonly cpuClass: CpuClass;
  /** What one task of its first step takes. */
  readonly taskCpuMilli: number;
  /** The expected time of its longest chain of steps. */
  readonly chainMs: number;
  /** Its objective, from its submission. */
  readonly objectiveMs: number;
}
