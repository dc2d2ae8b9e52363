import { accepted } from "./accepted.ts";
import { findAttempt } from "./find_attempt.ts";
import { isEviction } from "./is_eviction.ts";
import type { RecordHandler } from "./record_handler.ts";
import { endAttempt } from "./end_attempt.ts";

/** Ends a stopped attempt; the next one resumes from its checkpoint. */
export const applyReleased: RecordHandler<"released"> = (ledger, record) => {
  const task = findAttempt(ledger, record.task, record.attempt);
  if ("accepted" in task) return task;
  if (record.checkpoint !== undefined) task.checkpoint = record.checkpoint;
  if (isEviction(record.reason)) {
    task.evictions += 1;
    ledger.accountOf(task).evictions += 1;
    const job = ledger.jobs.get(task.job);
    if (job !== undefined) job.evictions += 1;
  }
  endAttempt(ledger, task, "RELEASE", record.atMs);
  return accepted;
};
