import type { JobId } from "../jobs/job_id.ts";
import type { Cell } from "./cell.ts";

/**
 * Leaves a job alone whose progress cannot be stored: nothing of it may start,
 * its runs go on and their ends are kept for a keeper that can store them.
 */
export function setJobAside(cell: Cell, id: JobId): void {
  const job = cell.jobs.get(id);
  if (job === undefined) return;
  cell.jobs.delete(id);
  cell.liveJobs.delete(job);
  cell.unreadable.add(job.definition);
  for (const task of job.tasks()) {
    if (task.claim === undefined) continue;
    cell.workers.get(task.claim.node)?.removeClaim(task);
    task.claim = undefined;
  }
}
