import type { CellSimulation } from "../world/cell_simulation.ts";

/**
 * Reads a value for an `expect` statement. The name is the job, worker, reason
 * or kind that the statement gives, or "all".
 */
export type Measure = (simulation: CellSimulation, name: string) => number;
