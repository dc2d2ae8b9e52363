import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** A move that has not ended by then no longer holds its target. */
const maxMoveMs = 3_000;

interface Move {
  readonly target: Worker;
  readonly run: number;
  readonly sinceMs: number;
}

/**
 * The tasks that were stopped to move, with the worker that had room for each.
 * Its room is not claimed before the stop is confirmed, so it takes one at a
 * time.
 */
export class PendingMoves {
  readonly #moves = new Map<Task, Move>();

  add(task: Task, target: Worker, nowMs: number): void {
    this.#moves.set(task, { target, run: task.run, sinceMs: nowMs });
  }

  /** The targets of the moves that have not ended. */
  targets(nowMs: number): Set<Worker> {
    for (const [task, { run, sinceMs }] of this.#moves) {
      const isPlaced = task.run !== run && task.claim !== undefined;
      if (isPlaced || task.isDone || nowMs - sinceMs > maxMoveMs) {
        this.#moves.delete(task);
      }
    }
    return new Set([...this.#moves.values()].map(({ target }) => target));
  }
}
