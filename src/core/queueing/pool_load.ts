import type { ClassLoad } from "./class_load.ts";
import type { CpuClass } from "./cpu_class.ts";

/** The load on a pool. Fillers compete with all work, other work does not. */
export interface PoolLoad extends Readonly<Record<CpuClass, ClassLoad>> {
  readonly capacityMilli: number;
}
