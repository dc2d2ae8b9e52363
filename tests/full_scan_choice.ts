import { fillerCpuDemand } from "../src/core/cell/filler_cpu_demand.ts";
import type { PressureModel } from "../src/core/interfere/pressure_model.ts";
import { fits } from "../src/core/resources/fits.ts";
import { subtractResources } from "../src/core/resources/subtract_resources.ts";
import type { Queue } from "../src/core/jobs/queue.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { PlacementMode } from "../src/core/cell/placement_mode.ts";
import type { TaskGroup } from "../src/core/cell/task_group.ts";
import { reservedResources } from "../src/core/cell/reserved_resources.ts";
import type { Task } from "../src/core/cell/task.ts";
import type { Worker } from "../src/core/cell/worker.ts";

/** The highest `excess` of `FillerImpact` that strict placement allows. */
const maxExcess = 0.03;
/** Weight of the load that a filler adds to services. */
const addedWeight = 2;
/** Weight of the `excess` of `FillerImpact`. */
const excessWeight = 10;
/**
 * Weight of a worker's sensitivity to fillers, which lowers the cost: workers
 * that suit any filler stay free for fillers that fit nowhere else.
 */
const sensitivityWeight = 1;
/** A worker with so many starts under way gets no further task. */
const maxPendingStarts = 64;
/** The share of its requested CPU that a filler must get in strict mode. */
const minFillerCpuShare = 0.85;
/** A worker whose runs take this many times the expected time is penalised. */
const slownessThreshold = 2;
const remoteRackPenalty = 2;
const coldPenalty = 3;
const avoidedWorkerPenalty = 4;
const slownessPenalty = 10;
const exposurePenalty = 2;
const exposedServicePenalty = 1;
const besideSuspectPenalty = 2;
/** Penalty for each step of `addedImageMix`. */
const imageMixPenalty = 2;

/** Returns the eligible worker of the lowest cost for a task, if any. */
export function chooseByFullScan(
  task: Task,
  queue: Queue,
  workers: Iterable<Worker>,
  pressure: PressureModel,
  nowMs: number,
  mode: PlacementMode,
  tickets?: ReadonlyMap<RunnerLife, string>,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    const { life } = worker.report ?? {};
    if (tickets !== undefined && (life === undefined || !tickets.has(life))) {
      continue;
    }
    if (!isEligible(task, queue, worker, nowMs, mode)) continue;
    const { isFiller } = task.group.definition;
    const cost = isFiller
      ? fillerCost(task, worker, pressure, mode, nowMs)
      : taskCost(task, worker);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

function isEligible(
  task: Task,
  queue: Queue,
  worker: Worker,
  nowMs: number,
  mode: PlacementMode,
): boolean {
  const { report } = worker;
  if (report === undefined || !worker.isReconciled) return false;
  if (worker.pendingStarts.size >= maxPendingStarts) return false;
  if (worker.isEvacuated || isKeptApart(task, worker, nowMs)) return false;
  if (!report.isUp || report.isDraining || report.pool !== queue.pool) {
    return false;
  }
  if (mode === "strict" && nowMs < worker.suspendedUntilMs) return false;
  const { definition } = task.group;
  const { label, mostPerWorker } = definition;
  if (label !== undefined && !report.labels.includes(label)) return false;
  if (mostPerWorker > 0 && countTasksOn(task.group, worker) >= mostPerWorker) {
    return false;
  }
  const room = definition.isFiller
    ? subtractResources(worker.free, worker.reserved)
    : worker.free;
  return fits(reservedResources(definition), room);
}

/**
 * Whether the worker tries an isolated task, or starts runs beside which an
 * isolated task must not start; gangs count as one.
 */
function isKeptApart(task: Task, worker: Worker, nowMs: number): boolean {
  const { quiet } = worker;
  const isReserved = quiet !== undefined && nowMs < quiet.untilMs;
  if (isReserved && (task.crashes < 2 || quiet.group !== task.group)) {
    return true;
  }
  return [...worker.claims.values()].some(({ claim, crashes, group }) => {
    if (group.definition.isGang && group === task.group) return false;
    const isTried = claim?.isStartingUp === true && crashes >= 2;
    return isTried || (claim?.isStartingUp === true && task.crashes >= 2);
  });
}

/** The cost of a worker for a filler; infinite if strict mode rules it out. */
function fillerCost(
  task: Task,
  worker: Worker,
  pressure: PressureModel,
  mode: PlacementMode,
  nowMs: number,
): number {
  const { excess, added } = estimateFillerImpact(
    worker,
    task,
    pressure,
    nowMs,
  );
  const { demandedMilli: othersMilli, unusedMilli } = fillerCpuBudget(
    worker,
    pressure,
    nowMs,
  );
  const { cpuMilli } = task.group.definition.resources;
  const isHarmless = excess <= maxExcess &&
    othersMilli + cpuMilli * minFillerCpuShare <= unusedMilli;
  if (mode === "strict" && !isHarmless) return Infinity;
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
  if (task.crashes > 0) {
    const suspects = [...worker.claims.values()].filter(({ claim, crashes }) =>
      claim?.isStartingUp === true && crashes > 0
    );
    cost += besideSuspectPenalty * suspects.length;
    cost += worker.targetCount > 0 ? exposedServicePenalty : 0;
    const usedShare = worker.used.cpuMilli / worker.capacityMilli;
    cost += exposurePenalty * Math.min(1, usedShare);
  }
  return cost;
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
  ) && countTasksOn(task.group, worker) === 0;
}

function countTasksOn(group: TaskGroup, worker: Worker): number {
  let count = 0;
  for (const { claim } of group.tasks) {
    if (claim?.node === worker.node) count += 1;
  }
  return count;
}

/** Load kept free below the load at which a service reaches its target. */
const loadHeadroom = 0.06;

/** A service's overload counts only if the filler adds this load to it. */
const minAddedLoad = 0.01;

/** How one more filler would affect a worker's services. */
interface FillerImpact {
  /**
   * The most by which a service that the filler affects would exceed its target
   * load less the headroom; 0 if none would.
   */
  readonly excess: number;
  /** The sum of the loads that the filler adds to the services. */
  readonly added: number;
}

/** Estimates the impact of a filler at full pace on the worker's services. */
function estimateFillerImpact(
  worker: Worker,
  filler: Task,
  pressure: PressureModel,
  nowMs: number,
): FillerImpact {
  const { image = "", resources } = filler.group.definition;
  const demands = fillerCpuDemands(worker, nowMs);
  const cpuShare = resources.cpuMilli / worker.capacityMilli;
  demands.set(image, (demands.get(image) ?? 0) + cpuShare);
  let excess = 0;
  let added = 0;
  for (const { group } of worker.claims.values()) {
    const { isService, targetLatencyMs, image: service = "" } =
      group.definition;
    if (!isService || targetLatencyMs === 0) continue;
    const fillerLoad = pressure.pressureOf(service, image) * cpuShare;
    added += fillerLoad;
    const load = pressure.expectedLoad(
      service,
      group.job.definition.id,
      demands,
    );
    const overLoad = load - pressure.targetLoadOf(service) + loadHeadroom;
    if (fillerLoad >= minAddedLoad) excess = Math.max(excess, overLoad);
  }
  return { excess, added };
}

/** The CPU that a worker's fillers demand, and what other tasks leave them. */
interface FillerCpuBudget {
  readonly demandedMilli: number;
  readonly unusedMilli: number;
}

/**
 * Estimates the CPU that fillers share on a worker. A service with a latency
 * target uses its reservation times its load; other tasks use all they reserve.
 */
function fillerCpuBudget(
  worker: Worker,
  pressure: PressureModel,
  nowMs: number,
): FillerCpuBudget {
  let demandedMilli = 0;
  let usedMilli = 0;
  for (const task of worker.claims.values()) {
    const { group } = task;
    const { isFiller, isService, resources, targetLatencyMs } =
      group.definition;
    const { cpuMilli } = resources;
    if (isFiller) demandedMilli += fillerCpuDemand(worker, task, nowMs);
    else if (isService && targetLatencyMs > 0) {
      usedMilli += cpuMilli * pressure.callerLoadOf(group.job.definition.id);
    } else usedMilli += cpuMilli;
  }
  const capacityMilli = worker.report?.capacity.cpuMilli ?? 0;
  return {
    demandedMilli,
    unusedMilli: Math.max(0, capacityMilli - usedMilli),
  };
}

/** The CPU demand of a worker's fillers, by image, as shares of capacity. */
function fillerCpuDemands(
  worker: Worker,
  nowMs: number,
): Map<string, number> {
  const demands = new Map<string, number>();
  for (const task of worker.claims.values()) {
    const { isFiller, image = "" } = task.group.definition;
    if (!isFiller) continue;
    const share = fillerCpuDemand(worker, task, nowMs) / worker.capacityMilli;
    demands.set(image, (demands.get(image) ?? 0) + share);
  }
  return demands;
}
