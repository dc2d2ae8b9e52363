import type { Statement } from "./statement.ts";
import type { CellSimulation } from "../world/cell_simulation.ts";

/** Runs the action of an `at` statement; its first word is the verb. */
export type Action = (simulation: CellSimulation, statement: Statement) => void;
