import type { Cell } from "./cell.ts";
import type { Job } from "./job.ts";
import { maxPendingStarts } from "./max_pending_starts.ts";

/** The share of the starts under way that one job may have. */
const jobShare = 0.75;

/**
 * How many tasks of a job may be started now, so that a large job leaves some of
 * the starts that may be under way to others.
 */
export function countAllowedStarts(
  { workers }: Cell,
  job: Job,
  pool: string,
): number {
  const perWorker = maxPendingStarts * jobShare;
  let count = 0;
  for (const { isReconciled, report } of workers.values()) {
    if (isReconciled && report?.pool === pool) count += 1;
  }
  return perWorker * Math.max(1, count) - job.pendingStartCount;
}
