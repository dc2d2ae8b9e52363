import type { Cell } from "./cell.ts";

/** How long fillers wait at most for the first reports of all workers. */
const maxSettlingMs = 1_200;

/**
 * Whether a new keeper still waits for workers with claims to report. After a
 * loss of all workers each report releases services, which need room without
 * fillers that disturb them; so services are placed first, on all workers.
 */
export function isCellSettling(cell: Cell, nowMs: number): boolean {
  if (nowMs - cell.beganAtMs >= maxSettlingMs) return false;
  for (const { isReconciled, claims } of cell.workers.values()) {
    if (!isReconciled && claims.size > 0) return true;
  }
  return false;
}
