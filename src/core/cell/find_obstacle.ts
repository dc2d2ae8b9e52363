import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import { capacityObstacle } from "./capacity_obstacle.ts";
import { estimateFillerImpact } from "./estimate_filler_impact.ts";
import type { FillerView } from "./filler_view.ts";
import { hasCpuForFiller } from "./has_cpu_for_filler.ts";
import { isImpactAllowed } from "./is_impact_allowed.ts";
import type { PlacementMode } from "./placement_mode.ts";
import { startObstacle } from "./start_obstacle.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";
import type { WorkerObstacle } from "./worker_obstacle.ts";

/**
 * The first condition that keeps a worker from taking a task, if any: those
 * that `chooseWorker` checks, ordered by how much they say.
 */
export function findObstacle(
  task: Task,
  queue: Queue,
  worker: Worker,
  view: FillerView,
  mode: PlacementMode,
  tickets?: ReadonlyMap<RunnerLife, string>,
): WorkerObstacle | undefined {
  const { nowMs } = view;
  const obstacle = capacityObstacle(task, queue, worker, nowMs, mode) ??
    startObstacle(task, worker, nowMs);
  if (obstacle !== undefined) return obstacle;
  const { report } = worker;
  const hasTicket = tickets === undefined ||
    (report !== undefined && tickets.has(report.life));
  if (!hasTicket) return "no_ticket";
  if (mode === "relaxed" || !task.group.definition.isFiller) return undefined;
  if (!hasCpuForFiller(task, view.figuresOf(worker))) return "no_processors";
  const impact = estimateFillerImpact(worker, task, view);
  return isImpactAllowed(impact) ? undefined : "disturbs_services";
}
