import type { Job } from "./job.ts";
import { maxPendingStarts } from "./max_pending_starts.ts";

/** The share of the starts under way that one job may have. */
const jobShare = 0.75;

/**
 * How many tasks of a job may be started now on its pool's workers, so that a
 * large job leaves some of the starts that may be under way to others.
 */
export function countAllowedStarts(job: Job, workerCount: number): number {
  const perWorker = maxPendingStarts * jobShare;
  return perWorker * Math.max(1, workerCount) - job.pendingStartCount;
}
