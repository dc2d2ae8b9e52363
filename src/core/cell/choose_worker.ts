import { fits } from "../resources/fits.ts";
import type { Queue } from "../jobs/queue.ts";
import { fillerRoom } from "./filler_room.ts";
import type { Group } from "./group.ts";
import { strainOf } from "./strain_of.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Fillers are not put where a service's latency is over this part of its target. */
const mostStrain = 0.75;
/** The least part of its processors that a filler is to get. */
const leastFillerShare = 0.85;
/** A worker that is slower than this counts as ill. */
const slowFrom = 2;
const farPenalty = 2;
const avoidPenalty = 4;
const slowPenalty = 10;

/** The best worker for a task, if any has room. */
export function chooseWorker(
  task: Task,
  queue: Queue,
  workers: Iterable<Worker>,
  nowMs: number,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    if (!mayRun(task, queue, worker, nowMs)) continue;
    const cost = costOf(task, worker);
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
): boolean {
  const { report } = worker;
  if (report === undefined || !worker.isAdopted) return false;
  if (!report.isUp || report.isDraining || report.pool !== queue.pool) {
    return false;
  }
  if (nowMs < worker.asideUntilMs) return false;
  const { label, mostPerWorker, resources, isFiller } = task.group.definition;
  if (label !== undefined && !report.labels.includes(label)) return false;
  if (mostPerWorker > 0 && countOf(task.group, worker) >= mostPerWorker) {
    return false;
  }
  const need = isFiller ? { ...resources, cpuMilli: 0 } : resources;
  if (!fits(need, worker.free)) return false;
  return !isFiller || hasFillerRoom(task, worker);
}

function hasFillerRoom(task: Task, worker: Worker): boolean {
  if (strainOf(worker) > mostStrain) return false;
  const { askedMilli, unusedMilli } = fillerRoom(worker);
  const { cpuMilli } = task.group.definition.resources;
  const wantedMilli = cpuMilli * leastFillerShare;
  return askedMilli + wantedMilli <= unusedMilli;
}

function costOf(task: Task, worker: Worker): number {
  const { definition } = task.group;
  const { report } = worker;
  let cost = worker.slowness >= slowFrom ? slowPenalty * worker.slowness : 0;
  if (task.avoid === worker.node) cost += avoidPenalty;
  if (isFar(task, worker)) cost += farPenalty;
  const capacityMilli = Math.max(1, report?.capacity.cpuMilli ?? 1);
  if (definition.isFiller) {
    const { askedMilli, unusedMilli } = fillerRoom(worker);
    return cost + strainOf(worker) + askedMilli / Math.max(1, unusedMilli);
  }
  return cost + worker.used.cpuMilli / capacityMilli;
}

function isFar(task: Task, worker: Worker): boolean {
  const { dataRack, sameRack } = task.group.definition;
  const rack = worker.report?.rack;
  if (dataRack !== undefined) return dataRack !== rack;
  if (!sameRack) return false;
  return task.group.tasks.some(({ claim }) =>
    claim !== undefined && claim.node !== worker.node
  ) && !hasMateOn(task.group, worker);
}

function hasMateOn(group: Group, worker: Worker): boolean {
  return countOf(group, worker) > 0;
}

function countOf(group: Group, worker: Worker): number {
  let count = 0;
  for (const { claim } of group.tasks) {
    if (claim?.node === worker.node) count += 1;
  }
  return count;
}
