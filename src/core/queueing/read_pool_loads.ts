import type { Cell } from "../cell/cell.ts";
import type { Job } from "../cell/job.ts";
import type { Task } from "../cell/task.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import { urgencyOf } from "../cell/urgency_of.ts";
import type { Worker } from "../cell/worker.ts";
import type { CpuClass } from "./cpu_class.ts";
import type { PoolLoad } from "./pool_load.ts";
import type { RunningWork } from "./running_work.ts";
import type { WaitingWork } from "./waiting_work.ts";

/** A filler that has hardly any CPU is taken to get this share at least. */
const minSpeed = 0.1;

interface ClassSums {
  capacityMilli: number;
  freeMilli: number;
  readonly running: RunningWork[];
  readonly waiting: WaitingWork[];
}

interface PoolSums extends Record<CpuClass, ClassSums> {
  capacityMilli: number;
}

/** Reads the load on each pool from the cell's state. */
export function readPoolLoads(
  cell: Cell,
  nowMs: number,
  wallMs: number,
): ReadonlyMap<string, PoolLoad> {
  const pools = new Map<string, PoolSums>();
  for (const { pool } of cell.queues.values()) {
    if (!pools.has(pool)) {
      const classes = { reserved: newClass(), filler: newClass() };
      pools.set(pool, { capacityMilli: 0, ...classes });
    }
  }
  for (const worker of cell.workers.values()) {
    const { report, isReconciled } = worker;
    if (report === undefined || !report.isUp || !isReconciled) continue;
    const sums = pools.get(report.pool);
    if (sums !== undefined) addWorker(sums, worker, cell, nowMs);
  }
  for (const job of cell.liveJobs) addWaiting(pools, job, cell, wallMs);
  return pools;
}

function newClass(): ClassSums {
  return { capacityMilli: 0, freeMilli: 0, running: [], waiting: [] };
}

function addWorker(
  sums: PoolSums,
  worker: Worker,
  cell: Cell,
  nowMs: number,
): void {
  const { reserved, filler } = sums;
  let reservedMilli = worker.report!.capacity.cpuMilli;
  let unusedMilli = reservedMilli;
  let heldMilli = 0;
  let fillerMilli = 0;
  for (const task of worker.claims.values()) {
    const { definition, job } = task.group;
    const { isFiller, isService, targetLatencyMs } = definition;
    const { cpuMilli } = definition.resources;
    if (isService) {
      reservedMilli -= cpuMilli;
      unusedMilli -= targetLatencyMs > 0
        ? cpuMilli * cell.pressure.callerLoadOf(job.definition.id)
        : cpuMilli;
      continue;
    }
    const work = runningWork(worker, task, nowMs);
    filler.running.push(work);
    if (isFiller) fillerMilli += work.cpuMilli;
    else {
      reserved.running.push(work);
      heldMilli += cpuMilli;
    }
  }
  sums.capacityMilli += worker.capacityMilli;
  reserved.capacityMilli += Math.max(0, reservedMilli);
  reserved.freeMilli += Math.max(0, reservedMilli - heldMilli);
  filler.capacityMilli += Math.max(0, unusedMilli);
  filler.freeMilli += Math.max(0, unusedMilli - heldMilli - fillerMilli);
}

/** A filler holds the CPU that it uses, and is as slow as that makes it. */
function runningWork(worker: Worker, task: Task, nowMs: number): RunningWork {
  const { claim, group } = task;
  const { resources, expectedMs, isFiller } = group.definition;
  const { cpuMilli } = resources;
  const status = worker.statuses.get(task.name);
  const percent = status?.percent ?? 0;
  if (!isFiller) {
    const ranMs = claim === undefined ? 0 : nowMs - claim.phaseSinceMs;
    const leftMs = percent > 0
      ? expectedMs * (1 - percent / 100)
      : expectedMs - ranMs;
    return { cpuMilli, remainingMs: Math.max(0, leftMs) };
  }
  const leftMs = expectedMs * (1 - percent / 100);
  const usedMilli = status === undefined || status.figure === 0
    ? cpuMilli
    : Math.min(cpuMilli, Math.max(minSpeed * cpuMilli, status.figure));
  return { cpuMilli: usedMilli, remainingMs: leftMs * cpuMilli / usedMilli };
}

function addWaiting(
  pools: ReadonlyMap<string, PoolSums>,
  job: Job,
  cell: Cell,
  wallMs: number,
): void {
  const queue = cell.queues.get(job.definition.queue);
  const sums = queue === undefined ? undefined : pools.get(queue.pool);
  if (queue === undefined || sums === undefined) return;
  for (const { groups } of job.openOccurrences.values()) {
    const first = groups.find(({ unfinishedCount }) => unfinishedCount > 0);
    if (first === undefined) continue;
    const milliMs = { reserved: 0, filler: 0 };
    for (const group of groups) {
      const { definition } = group;
      const { cpuMilli } = definition.resources;
      if (group.unfinishedCount === 0) continue;
      const waitingMilli = countWaiting(group) * cpuMilli;
      if (definition.isService) sums.reserved.freeMilli -= waitingMilli;
      else {
        const cpuClass = definition.isFiller ? "filler" : "reserved";
        milliMs[cpuClass] += waitingMilli * definition.expectedMs;
      }
    }
    if (milliMs.reserved + milliMs.filler === 0) continue;
    const { band, priority, rankMs } = urgencyOf(first, queue, wallMs);
    const party = job.definition.origin ?? "";
    const place = { band, priority, rankMs, queue: queue.name, party };
    const all = milliMs.reserved + milliMs.filler;
    sums.filler.waiting.push({ ...place, milliMs: all });
    if (milliMs.reserved === 0) continue;
    sums.reserved.waiting.push({ ...place, milliMs: milliMs.reserved });
  }
}

function countWaiting({ tasks }: TaskGroup): number {
  let count = 0;
  for (const { isDone, claim } of tasks) {
    if (!isDone && claim === undefined) count += 1;
  }
  return count;
}
