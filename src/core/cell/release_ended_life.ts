import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import { isStartSettled } from "./is_start_settled.ts";
import type { Worker } from "./worker.ts";

/** Releases the claims in lives of a worker's runner that have ended for good. */
export function* releaseEndedLife(
  cell: Cell,
  worker: Worker,
  nowMs: number,
): Generator<CellEffect, void> {
  const { node, endedLife: life, endedLives } = worker;
  const ended = [...worker.claims.values()].filter((task) =>
    task.claim !== undefined && endedLives.includes(task.claim.life) &&
    isStartSettled(task)
  );
  if (life === undefined || ended.length === 0) return;
  const fields = { node, life, claims: ended.length };
  yield { kind: "note", event: "worker_ended", fields };
  for (const task of ended) yield* cell.releaseClaim(worker, task, nowMs);
}
