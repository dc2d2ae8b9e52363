import type { Cell } from "./cell.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Worker } from "./worker.ts";

/** Releases the claims in a life of a worker's runner that has ended for good. */
export function* releaseEndedLife(
  cell: Cell,
  worker: Worker,
  nowMs: number,
): Generator<CellEffect, void> {
  const { node, endedLife: life } = worker;
  const ended = [...worker.claims.values()].filter(({ claim }) =>
    claim?.life === life
  );
  if (life === undefined || ended.length === 0) return;
  const fields = { node, life, claims: ended.length };
  yield { kind: "note", event: "worker_ended", fields };
  for (const task of ended) yield* cell.releaseClaim(worker, task, nowMs);
}
