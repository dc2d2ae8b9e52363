import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import { hasCapacityFor } from "./has_capacity_for.ts";
import { hasCpuForFiller } from "./has_cpu_for_filler.ts";
import { isImpactAllowed } from "./is_impact_allowed.ts";
import { mayStartBeside } from "./may_start_beside.ts";
import type { PlacementMode } from "./placement_mode.ts";
import { estimateFillerImpact } from "./estimate_filler_impact.ts";
import type { FillerView } from "./filler_view.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Weight of the load that a filler adds to services. */
const addedWeight = 2;
/** Weight of the `excess` of `FillerImpact`. */
const excessWeight = 10;
/**
 * Weight of a worker's sensitivity to fillers, which lowers the cost: workers
 * that suit any filler stay free for fillers that fit nowhere else.
 */
const sensitivityWeight = 1;
/** A worker whose runs take this many times the expected time is penalised. */
const slownessThreshold = 2;
const remoteRackPenalty = 2;
/**
 * Penalty of a worker that is cold after its data centre was evacuated: work
 * returns to it only as far as the others are full.
 */
const coldPenalty = 3;
const avoidedWorkerPenalty = 4;
const slownessPenalty = 10;
/** Penalties for a suspect: a full worker, its services, each other suspect. */
const exposurePenalty = 2;
const exposedServicePenalty = 1;
const besideSuspectPenalty = 2;
/** Penalty for each step of `addedImageMix`. */
const imageMixPenalty = 2;

/**
 * Returns the eligible worker of the lowest cost for a task, if any. Names the
 * workers that cannot take the task to `onUnfit`. This must not depend on the
 * task itself, but only on its group, or on what `DemandIndex` distinguishes.
 */
export function chooseWorker(
  task: Task,
  queue: Queue,
  workers: Iterable<Worker>,
  view: FillerView,
  mode: PlacementMode,
  tickets?: ReadonlyMap<RunnerLife, string>,
  onUnfit?: (worker: Worker) => void,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  const { isFiller } = task.group.definition;
  const { nowMs } = view;
  for (const worker of workers) {
    const isFit = hasTicket(worker, tickets) &&
      mayStartBeside(task, worker, nowMs) &&
      hasCapacityFor(task, queue, worker, nowMs, mode);
    const cost = !isFit
      ? Infinity
      : isFiller
      ? fillerCost(task, worker, view, mode)
      : taskCost(task, worker);
    if (cost === Infinity) onUnfit?.(worker);
    else if (
      cost < bestCost ||
      (cost === bestCost && best !== undefined && worker.order < best.order)
    ) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}

function hasTicket(
  { report }: Worker,
  tickets: ReadonlyMap<RunnerLife, string> | undefined,
): boolean {
  return tickets === undefined ||
    (report !== undefined && tickets.has(report.life));
}

/** The cost of a worker for a filler; infinite if strict mode rules it out. */
function fillerCost(
  task: Task,
  worker: Worker,
  view: FillerView,
  mode: PlacementMode,
): number {
  const figures = view.figuresOf(worker);
  if (mode === "strict" && !hasCpuForFiller(task, figures)) return Infinity;
  const impact = estimateFillerImpact(worker, task, view);
  if (mode === "strict" && !isImpactAllowed(impact)) return Infinity;
  const { demandedMilli: othersMilli, unusedMilli } = figures;
  const { excess, added } = impact;
  return baseCost(task, worker) + excessWeight * excess +
    addedWeight * added + othersMilli / Math.max(1, unusedMilli) -
    sensitivityWeight * worker.fillerSensitivity;
}

function taskCost(task: Task, worker: Worker): number {
  const cost = baseCost(task, worker);
  const usedShare = worker.used.cpuMilli / worker.capacityMilli;
  if (!task.group.definition.isService) return cost + usedShare;
  return cost + imageMixPenalty * addedImageMix(task, worker) - usedShare;
}

function baseCost(task: Task, worker: Worker): number {
  let cost = worker.slowness >= slownessThreshold
    ? slownessPenalty * worker.slowness
    : 0;
  if (task.avoidedWorker === worker.node) cost += avoidedWorkerPenalty;
  if ((worker.report?.coldForMs ?? 0) > 0) cost += coldPenalty;
  if (isOnRemoteRack(task, worker)) cost += remoteRackPenalty;
  return task.crashes === 0 ? cost : cost + suspectCost(worker);
}

/** The cost of starting a task on a worker that it may crash. */
function suspectCost(worker: Worker): number {
  const usedShare = worker.used.cpuMilli / worker.capacityMilli;
  return exposurePenalty * Math.min(1, usedShare) +
    (worker.targetCount > 0 ? exposedServicePenalty : 0) +
    besideSuspectPenalty * worker.startingSuspects.size;
}

/**
 * How many service images the worker would hold with the service's added; 0 if
 * it already holds that one. Services of one image are packed together, so that
 * each filler image finds workers without services that it slows down.
 */
function addedImageMix(task: Task, worker: Worker): number {
  const images = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, image = "" } = group.definition;
    if (isService) images.add(image);
  }
  return images.has(task.group.definition.image ?? "") ? 0 : 1 + images.size;
}

function isOnRemoteRack(task: Task, worker: Worker): boolean {
  const { dataRack, sameRack } = task.group.definition;
  const rack = worker.report?.rack;
  if (dataRack !== undefined) return dataRack !== rack;
  if (!sameRack) return false;
  return task.group.tasks.some(({ claim }) =>
    claim !== undefined && claim.node !== worker.node
  ) && worker.countOf(task.group) === 0;
}
