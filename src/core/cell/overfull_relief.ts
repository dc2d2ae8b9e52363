import type { Resources } from "../../schema/resources.ts";
import { mayServiceLeave } from "../evacuate/may_service_leave.ts";
import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { noResources } from "../resources/no_resources.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { chooseWorker } from "./choose_worker.ts";
import { FillerView } from "./filler_view.ts";
import { PendingMoves } from "./pending_moves.ts";
import { reservedResources } from "./reserved_resources.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

const planIntervalMs = 100;

/**
 * Moves services away from workers whose capacity has shrunk below what their
 * runs reserve, as long as another worker has room for them. Those within their
 * latency target stay, since more services on the others means more that fillers
 * can disturb. Other tasks end by themselves, and fillers reserve no processors.
 */
export class OverfullRelief {
  readonly #moves = new PendingMoves();
  #plannedAtMs = -Infinity;

  /** Stops the services that move now. */
  *relieve(cell: Cell, nowMs: number): Generator<CellEffect, void> {
    if (nowMs - this.#plannedAtMs < planIntervalMs) return;
    this.#plannedAtMs = nowMs;
    for (const worker of cell.workers.values()) {
      if (!worker.isReconciled || worker.report?.isDraining) continue;
      if (!fits(noResources, worker.free)) {
        yield* this.#relieveWorker(cell, worker, nowMs);
      }
    }
  }

  *#relieveWorker(
    cell: Cell,
    worker: Worker,
    nowMs: number,
  ): Generator<CellEffect, void> {
    let free = freeOnceStopped(worker);
    for (const task of servicesBySize(worker)) {
      if (fits(noResources, free)) return;
      if (!mayServiceLeave(cell, task.group)) continue;
      const target = this.#chooseTarget(cell, task, nowMs);
      if (target === undefined) continue;
      this.#moves.add(task, target, nowMs);
      free = addResources(free, reservedResources(task.group.definition));
      yield* cell.stopRun(task, "shrunk", nowMs);
    }
  }

  #chooseTarget(cell: Cell, task: Task, nowMs: number): Worker | undefined {
    const queue = cell.queues.get(task.group.job.definition.queue);
    if (queue === undefined) return undefined;
    const taken = this.#moves.targets(nowMs);
    const others = [...cell.workers.values()].filter((worker) =>
      !taken.has(worker)
    );
    const view = new FillerView(cell.pressure, nowMs);
    return chooseWorker(task, queue, others, view, "strict");
  }
}

/** What is free once the runs that are being stopped have ended. */
function freeOnceStopped({ claims, free }: Worker): Resources {
  let freeThen = free;
  for (const { claim, group } of claims.values()) {
    if (claim?.phase !== "stopping") continue;
    freeThen = addResources(freeThen, reservedResources(group.definition));
  }
  return freeThen;
}

/**
 * The worker's running services that suffer, the largest first: fewer of them
 * move.
 */
function servicesBySize(worker: Worker): Task[] {
  return [...worker.claims.values()]
    .filter((task) =>
      task.group.definition.isService && task.claim?.phase === "running" &&
      !isWithinTarget(worker, task)
    )
    .sort((a, b) =>
      b.group.definition.resources.cpuMilli -
      a.group.definition.resources.cpuMilli
    );
}

/** Services reserve more than they use, so some of them still fit. */
function isWithinTarget({ statuses }: Worker, { name, group }: Task): boolean {
  const { targetLatencyMs } = group.definition;
  const latencyMs = statuses.get(name)?.figure ?? 0;
  return targetLatencyMs > 0 && latencyMs <= targetLatencyMs;
}
