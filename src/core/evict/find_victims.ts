import type { Resources } from "../../schema/resources.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import { fits } from "../resources/fits.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import { addResources } from "../resources/add_resources.ts";
import type { EvictionContext } from "./eviction_context.ts";
import { isEvictable } from "./is_evictable.ts";
import type { Victims } from "./victims.ts";

/** Added for each earlier eviction of the task. */
const earlierEvictionCost = 4;
/** Added for a task that has held its worker for `longRunMs` or more. */
const longRunCost = 1;
const longRunMs = 60_000;

/** Finds the cheapest batch tasks on one worker to evict for the need. */
export function findVictims(
  ledger: CellLedger,
  workers: readonly WorkerRow[],
  need: Resources,
  eviction: EvictionContext,
  nowMs: number,
): Victims | undefined {
  let best: Victims | undefined;
  for (const worker of workers) {
    const victims = victimsOn(ledger, worker, need, eviction, nowMs);
    if (victims === undefined) continue;
    if (best === undefined || victims.cost < best.cost) best = victims;
  }
  return best;
}

function victimsOn(
  ledger: CellLedger,
  worker: WorkerRow,
  need: Resources,
  eviction: EvictionContext,
  nowMs: number,
): Victims | undefined {
  const candidates = [...worker.tasks]
    .map((id) => ledger.tasks.get(id))
    .filter((task) => task !== undefined)
    .filter((task) => isEvictable(ledger, task) && !eviction.isLeaving(task))
    .sort((a, b) => costOf(a, nowMs) - costOf(b, nowMs));
  const chosen: TaskRow[] = [];
  let cost = 0;
  let room = roomAfterEvictions(ledger, worker, eviction);
  for (const task of candidates) {
    if (fits(need, room)) break;
    if (task.reserved === undefined) continue;
    room = addResources(room, task.reserved);
    cost += costOf(task, nowMs);
    chosen.push(task);
  }
  if (!fits(need, room)) return undefined;
  return { worker, tasks: chosen, cost };
}

/** Free room once pending evictions have ended and their room is used. */
function roomAfterEvictions(
  ledger: CellLedger,
  worker: WorkerRow,
  { isLeaving, preemptedRoom: beingFreed }: EvictionContext,
): Resources {
  let room = subtractResources(worker.capacity, worker.used);
  for (const id of worker.tasks) {
    const task = ledger.tasks.get(id);
    if (task?.reserved === undefined || !isLeaving(task)) continue;
    room = addResources(room, task.reserved);
  }
  return subtractResources(room, beingFreed(worker));
}

function costOf(task: TaskRow, nowMs: number): number {
  const heldMs = nowMs - (task.claimedAtMs ?? nowMs);
  return 1 + task.evictions * earlierEvictionCost +
    Math.min(heldMs / longRunMs, 1) * longRunCost;
}
