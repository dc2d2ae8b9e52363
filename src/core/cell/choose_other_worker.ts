import type { PlacementMode } from "./placement_mode.ts";
import type { Cell } from "./cell.ts";
import { chooseWorker } from "./choose_worker.ts";
import { FillerView } from "./filler_view.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Returns the best worker for a task other than its current one, if any. */
export function chooseOtherWorker(
  cell: Cell,
  worker: Worker,
  task: Task,
  nowMs: number,
  mode: PlacementMode,
): Worker | undefined {
  const queue = cell.queues.get(task.group.job.definition.queue);
  if (queue === undefined) return undefined;
  const others = [...cell.workers.values()].filter((other) => other !== worker);
  const view = new FillerView(cell.pressure, nowMs);
  return chooseWorker(task, queue, others, view, mode);
}
