import { accepted } from "./accepted.ts";
import { findAttempt } from "./find_attempt.ts";
import type { RecordHandler } from "./record_handler.ts";
import { endAttempt } from "./end_attempt.ts";

/** Records a failed attempt; the job's limit decides if the task runs again. */
export const applyFailed: RecordHandler<"failed"> = (ledger, record) => {
  const task = findAttempt(ledger, record.task, record.attempt);
  if ("accepted" in task) return task;
  const worker = task.worker && ledger.workers.get(task.worker);
  if (worker) {
    worker.failStreak += 1;
    worker.lastFailureAtMs = record.atMs;
  }
  task.failures += 1;
  task.detail = record.detail;
  const limit = ledger.jobs.get(task.job)?.job.maxAttempts ?? 1;
  const event = task.failures >= limit ? "GIVE_UP" : "FAIL";
  endAttempt(ledger, task, event, record.atMs);
  return accepted;
};
