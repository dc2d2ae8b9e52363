import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { drainWorkers } from "./drain_workers.ts";
import { OverfullRelief } from "./overfull_relief.ts";

/** Stops the runs that have to leave their workers. */
export class RunMoves {
  readonly #overfullRelief = new OverfullRelief();

  *plan(cell: Cell, nowMs: number): Generator<CellEffect, void> {
    if (!cell.mayMove) return;
    yield* drainWorkers(cell, nowMs);
    yield* this.#overfullRelief.relieve(cell, nowMs);
    if (cell.evacuationPlanner === undefined) return;
    yield* cell.evacuationPlanner.plan(cell, nowMs);
  }
}
