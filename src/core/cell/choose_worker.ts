import type { PairPressure } from "../interfere/pair_pressure.ts";
import { fits } from "../resources/fits.ts";
import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Care } from "./care.ts";
import { bearingOf } from "./bearing_of.ts";
import { fillerRoom } from "./filler_room.ts";
import type { Group } from "./group.ts";
import { roomOf } from "./room_of.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** A filler may add this much to a service's load beyond what it bears. */
const mostExcess = 0.03;
/** How much what a filler adds to services' loads counts. */
const addedWeight = 2;
const excessWeight = 10;
/** How much it counts that few other fillers would fit on a worker. */
const closedWeight = 1;
/** The least part of its processors that a filler is to get. */
const leastFillerShare = 0.85;
/** A worker that is slower than this counts as ill. */
const slowFrom = 2;
const farPenalty = 2;
const avoidPenalty = 4;
const slowPenalty = 10;
const mixPenalty = 2;

/** The best worker for a task, if any has room. */
export function chooseWorker(
  task: Task,
  queue: Queue,
  workers: Iterable<Worker>,
  pressure: PairPressure,
  nowMs: number,
  care: Care,
  tickets?: ReadonlyMap<RunnerLife, string>,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    const { life } = worker.report ?? {};
    if (tickets !== undefined && (life === undefined || !tickets.has(life))) {
      continue;
    }
    if (!mayRun(task, queue, worker, nowMs, care)) continue;
    const { isFiller } = task.group.definition;
    const cost = isFiller
      ? fillerCost(task, worker, pressure, care)
      : costOf(task, worker);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

function mayRun(
  task: Task,
  queue: Queue,
  worker: Worker,
  nowMs: number,
  care: Care,
): boolean {
  const { report } = worker;
  if (report === undefined || !worker.isAdopted) return false;
  if (!report.isUp || report.isDraining || report.pool !== queue.pool) {
    return false;
  }
  if (care === "gentle" && nowMs < worker.asideUntilMs) return false;
  const { definition } = task.group;
  const { label, mostPerWorker } = definition;
  if (label !== undefined && !report.labels.includes(label)) return false;
  if (mostPerWorker > 0 && countOf(task.group, worker) >= mostPerWorker) {
    return false;
  }
  return fits(roomOf(definition), worker.free);
}

/** What a worker costs a filler; without end where it would not be gentle. */
function fillerCost(
  task: Task,
  worker: Worker,
  pressure: PairPressure,
  care: Care,
): number {
  const { excess, added } = bearingOf(worker, task, pressure);
  const { askedMilli, unusedMilli } = fillerRoom(worker, pressure);
  const { cpuMilli } = task.group.definition.resources;
  const isGentle = excess <= mostExcess &&
    askedMilli + cpuMilli * leastFillerShare <= unusedMilli;
  if (care === "gentle" && !isGentle) return Infinity;
  return baseCost(task, worker) + excessWeight * excess +
    addedWeight * added + askedMilli / Math.max(1, unusedMilli) -
    closedWeight * worker.closedness;
}

function costOf(task: Task, worker: Worker): number {
  const cost = baseCost(task, worker);
  const usedPart = worker.used.cpuMilli / worker.capacityMilli;
  if (!task.group.definition.isService) return cost + usedPart;
  return cost + mixPenalty * newMix(task, worker) - usedPart;
}

function baseCost(task: Task, worker: Worker): number {
  let cost = worker.slowness >= slowFrom ? slowPenalty * worker.slowness : 0;
  if (task.avoid === worker.node) cost += avoidPenalty;
  if (isFar(task, worker)) cost += farPenalty;
  return cost;
}

/**
 * How much less uniform a worker's services become with the task. Services of
 * one image are packed together, so that each filler image finds workers where
 * it presses on none.
 */
function newMix(task: Task, worker: Worker): number {
  const images = new Set<string>();
  for (const { group } of worker.claims.values()) {
    const { isService, image = "" } = group.definition;
    if (isService) images.add(image);
  }
  return images.has(task.group.definition.image ?? "") ? 0 : 1 + images.size;
}

function isFar(task: Task, worker: Worker): boolean {
  const { dataRack, sameRack } = task.group.definition;
  const rack = worker.report?.rack;
  if (dataRack !== undefined) return dataRack !== rack;
  if (!sameRack) return false;
  return task.group.tasks.some(({ claim }) =>
    claim !== undefined && claim.node !== worker.node
  ) && countOf(task.group, worker) === 0;
}

function countOf(group: Group, worker: Worker): number {
  let count = 0;
  for (const { claim } of group.tasks) {
    if (claim?.node === worker.node) count += 1;
  }
  return count;
}
