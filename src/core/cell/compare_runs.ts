import { runKey } from "../jobs/run_key.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { noResources } from "../resources/no_resources.ts";
import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { roomOf } from "./room_of.ts";
import { startOrderOf } from "./start_order_of.ts";
import { stopOrderOf } from "./stop_order_of.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

type Effects = Generator<CellEffect, void>;

/** A stray that is still listed is stopped again so often. */
const strayStopEveryMs = 500;
/** An order of which no list shows anything is told again after this. */
const tellAgainMs = 1_500;

/** Compares claims with what runs: starts what is missing, stops what is stray. */
export function* compareRuns(
  cell: Cell,
  worker: Worker,
  runs: ReadonlyMap<TaskName, RunStatus>,
  nowMs: number,
): Effects {
  worker.strays.clear();
  for (const [name, status] of runs) {
    const task = worker.claimed(name, status.run);
    if (task === undefined) {
      yield* stopStray(cell, worker, status, nowMs);
      continue;
    }
    cell.noteCheckpoint(task, status.checkpoint);
    cell.started(worker.node, name, status.run, nowMs);
    noteProgress(task, status.percent, nowMs);
  }
  for (const key of worker.strayStops.keys()) {
    if (!worker.strays.has(key)) worker.strayStops.delete(key);
  }
  for (const task of worker.claims.values()) {
    yield* tellAgain(worker, task, runs, nowMs);
  }
}

function* stopStray(
  cell: Cell,
  worker: Worker,
  status: RunStatus,
  nowMs: number,
): Effects {
  const known = cell.task(status.task)?.group.definition;
  const key = runKey(status);
  worker.strays.set(key, known === undefined ? noResources : roomOf(known));
  const toldAtMs = worker.strayStops.get(key) ?? -Infinity;
  if (nowMs - toldAtMs < strayStopEveryMs) return;
  worker.strayStops.set(key, nowMs);
  yield stopOrderOf(worker, status.task, status.run, "stray");
}

/** An order may be lost with its connection, or with its sidecar. */
function* tellAgain(
  worker: Worker,
  task: Task,
  runs: ReadonlyMap<TaskName, RunStatus>,
  nowMs: number,
): Effects {
  const { claim } = task;
  if (claim === undefined) return;
  const isStopping = claim.phase === "stopping";
  if (!isStopping && runs.get(task.name)?.run === task.run) return;
  if (worker.isAdopted && nowMs - claim.sinceMs < tellAgainMs) return;
  claim.sinceMs = nowMs;
  if (isStopping) yield stopOrderOf(worker, task.name, task.run, "again");
  else yield { kind: "start", node: worker.node, order: startOrderOf(task) };
}

function noteProgress(task: Task, percent: number, nowMs: number): void {
  const { claim } = task;
  if (claim === undefined || percent === claim.progress) return;
  claim.progress = percent;
  claim.progressAtMs = nowMs;
}
