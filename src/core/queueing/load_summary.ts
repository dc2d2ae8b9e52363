import type { CpuClass } from "./cpu_class.ts";

/** What a keeper tells the entries of its pools' load, to admit jobs by. */
export interface LoadSummary {
  /** When it was made, by the keeper's wall clock. */
  readonly atMs: number;
  readonly pools: readonly PoolSummary[];
}

interface PoolSummary {
  readonly pool: string;
  readonly capacityMilli: number;
  /** What no task uses now. */
  readonly freeMilli: number;
  readonly classes: Readonly<Record<CpuClass, ClassSummary>>;
}

interface ClassSummary {
  /** What services leave. */
  readonly capacityMilli: number;
  /** What no run holds now. */
  readonly freeMilli: number;
  /** The CPU time that running work still needs. */
  readonly runningMilliMs: number;
  /** The CPU time of the work before some places in the order, ascending. */
  readonly places: readonly (readonly [
    priority: number,
    rankMs: number,
    milliMs: number,
  ])[];
}
