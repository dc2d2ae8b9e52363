import type { Queue } from "../jobs/queue.ts";
import type { Cell } from "./cell.ts";
import { hasCapacityFor } from "./has_capacity_for.ts";
import { isIsolated } from "./is_isolated.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Worker } from "./worker.ts";

/** How long nothing starts on a worker at most; runs start up in less time. */
const maxQuietMs = 2_000;

/**
 * Lets nothing else start on a worker until what is starting there has started
 * up, for a group with an isolated task: under load none would ever be quiet. A
 * gang needs a worker for each task.
 */
export function reserveQuietWorker(
  cell: Cell,
  group: TaskGroup,
  queue: Queue,
  nowMs: number,
): void {
  const task = group.tasks.find((each) =>
    isIsolated(each) && !each.isDone && each.claim === undefined
  );
  if (task === undefined) return;
  const workers = [...cell.workers.values()];
  const reserved = workers.filter((worker) =>
    worker.isQuiet(nowMs) && worker.quiet?.group === group
  );
  const wanted = group.definition.isGang ? group.tasks.length : 1;
  const candidates = workers
    .filter((worker) =>
      !worker.isQuiet(nowMs) &&
      hasCapacityFor(task, queue, worker, nowMs, "strict")
    )
    .sort((a, b) => countStarting(a) - countStarting(b) || a.order - b.order)
    .slice(0, Math.max(0, wanted - reserved.length));
  for (const worker of candidates) {
    worker.quiet = { group, untilMs: nowMs + maxQuietMs };
  }
}

function countStarting({ claims }: Worker): number {
  let count = 0;
  for (const { claim } of claims.values()) {
    if (claim?.isStartingUp) count += 1;
  }
  return count;
}
