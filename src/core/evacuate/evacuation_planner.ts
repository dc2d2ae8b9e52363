import type { Cell } from "../cell/cell.ts";
import type { CellEffect } from "../cell/cell_effect.ts";
import { chooseWorker } from "../cell/choose_worker.ts";
import { FillerView } from "../cell/filler_view.ts";
import { PendingMoves } from "../cell/pending_moves.ts";
import type { Task } from "../cell/task.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import type { Worker } from "../cell/worker.ts";
import { leavingOrder } from "./leaving_order.ts";
import { mayServiceLeave } from "./may_service_leave.ts";
import { reserveForServices } from "./reserve_for_services.ts";

/** Choosing workers for a whole data centre at each tick would cost too much. */
const planIntervalMs = 100;
const maxMovesPerPlan = 8;
/**
 * Decides which running tasks leave an evacuated data centre. Handles the load
 * of a data centre that goes to the others: a task is stopped only where another
 * worker has free capacity for it now, and each of these takes one such task at
 * a time.
 */
export class EvacuationPlanner {
  readonly #moves = new PendingMoves();
  #plannedAtMs = -Infinity;
  #wasEvacuating = false;

  constructor(readonly evacuateMs: number) {}

  /** Stops the tasks that move now. */
  *plan(cell: Cell, nowMs: number): Generator<CellEffect, void> {
    if (nowMs - this.#plannedAtMs < planIntervalMs) return;
    this.#plannedAtMs = nowMs;
    const isEvacuating = cell.evacuatedZones.size > 0;
    if (!isEvacuating && !this.#wasEvacuating) return;
    this.#wasEvacuating = isEvacuating;
    const leaving = leavingOrder(cell.workers.values(), this.evacuateMs);
    reserveForServices(cell, leaving);
    const targets = this.#moves.targets(nowMs);
    const unplaceable = new Set<TaskGroup>();
    let moveCount = 0;
    for (const task of leaving) {
      if (moveCount >= maxMovesPerPlan) return;
      const { group } = task;
      if (unplaceable.has(group)) continue;
      if (group.definition.isService && !mayServiceLeave(cell, group)) continue;
      const target = chooseTarget(cell, task, targets, nowMs);
      if (target === undefined) {
        unplaceable.add(group);
        continue;
      }
      moveCount += 1;
      targets.add(target);
      this.#moves.add(task, target, nowMs);
      yield* cell.stopRun(task, "evacuate", nowMs);
    }
  }
}

function chooseTarget(
  cell: Cell,
  task: Task,
  taken: ReadonlySet<Worker>,
  nowMs: number,
): Worker | undefined {
  const queue = cell.queues.get(task.group.job.definition.queue);
  if (queue === undefined) return undefined;
  const others = [...cell.workers.values()].filter((worker) =>
    !worker.isEvacuated && !taken.has(worker)
  );
  const view = new FillerView(cell.pressure, nowMs);
  return chooseWorker(task, queue, others, view, "strict");
}
