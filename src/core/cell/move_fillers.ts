import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { fillerCpuUsage } from "./filler_cpu_usage.ts";
import { chooseOtherWorker } from "./choose_other_worker.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Time until a move shows in the reported latencies and CPU use. */
const moveIntervalMs = 700;
/** A filler that gets less than this share of its requested CPU is starved. */
const starvedCpuShare = 0.2;
/** A run counts as starved only after it has run for this long. */
const starvedAfterMs = 1_500;
/** A filler image that adds less than this to a service's load stays. */
const minAddedLoad = 0.08;

/**
 * Stops starved fillers, and those of the image that slows down services over
 * their latency target the most, where another worker suits them. The worker's
 * gate paces fillers that cannot move.
 */
export function* moveFillers(
  cell: Cell,
  worker: Worker,
  nowMs: number,
): Generator<CellEffect, void> {
  if (nowMs - worker.fillersMovedAtMs < moveIntervalMs) return;
  const disturbingImage = mostDisturbingImage(cell, worker);
  for (const task of [...worker.claims.values()]) {
    const isDisturbing = disturbingImage !== undefined &&
      task.group.definition.image === disturbingImage;
    if (!isDisturbing && !isStarved(worker, task, nowMs)) continue;
    if (!mayMove(cell, worker, task, nowMs)) continue;
    worker.fillersMovedAtMs = nowMs;
    yield* cell.stopRun(task, "relieve", nowMs);
  }
}

/** Whether a filler gets almost no CPU on its worker. */
function isStarved(worker: Worker, task: Task, nowMs: number): boolean {
  const { isFiller, resources } = task.group.definition;
  const { claim } = task;
  const figure = worker.statuses.get(task.name)?.figure;
  if (!isFiller || claim === undefined || figure === undefined) return false;
  return nowMs - claim.phaseSinceMs >= starvedAfterMs &&
    figure < resources.cpuMilli * starvedCpuShare;
}

/** The filler image that adds the most load to a service over its target. */
function mostDisturbingImage(cell: Cell, worker: Worker): string | undefined {
  const usage = fillerCpuUsage(worker);
  let worst: string | undefined;
  let highestLoad = minAddedLoad;
  for (const task of worker.claims.values()) {
    const { isService, image = "", targetLatencyMs } = task.group.definition;
    const figure = worker.statuses.get(task.name)?.figure ?? 0;
    if (!isService || targetLatencyMs === 0 || figure <= targetLatencyMs) {
      continue;
    }
    for (const [filler, used] of usage) {
      const addedLoad = cell.pressure.pressureOf(image, filler) * used;
      if (addedLoad <= highestLoad) continue;
      highestLoad = addedLoad;
      worst = filler;
    }
  }
  return worst;
}

function mayMove(
  cell: Cell,
  worker: Worker,
  task: Task,
  nowMs: number,
): boolean {
  const { definition } = task.group;
  if (!definition.isFiller || !definition.savesProgress) return false;
  if (task.claim?.phase !== "running") return false;
  return chooseOtherWorker(cell, worker, task, nowMs, "strict") !== undefined;
}
