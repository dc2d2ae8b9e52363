import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Refusal } from "./refusal.ts";
import type { Worker } from "./worker.ts";

/** How long a worker that refused a start as unhealthy or full is suspended. */
const refusalPauseMs = 300;

/** Releases the claim of a run that was not started, and never will be. */
export function* applyRefusal(
  cell: Cell,
  worker: Worker,
  { task: name, run, life, reason }: Refusal,
  nowMs: number,
): Generator<CellEffect, void> {
  const task = worker.claimedTask(name, run);
  if (task === undefined) return;
  if (reason === "unhealthy" || reason === "no_room") {
    worker.suspendedUntilMs = nowMs + refusalPauseMs;
  }
  if (reason === "ticket") cell.advice.dropTicket(task);
  if (reason === "other_life") {
    // A run that the next life was found to have is claimed for that life.
    if (task.claim?.life !== life) return;
    // The runner's new life is unknown until the sidecar's next report.
    worker.isReconciled = false;
  }
  const outcome = reason === "evacuated" ? "stopped" : "lapsed";
  yield* cell.releaseClaim(worker, task, nowMs, outcome);
}
