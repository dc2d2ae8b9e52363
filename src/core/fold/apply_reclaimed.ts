import { accepted } from "./accepted.ts";
import { findAttempt } from "./find_attempt.ts";
import type { RecordHandler } from "./record_handler.ts";
import { endAttempt } from "./end_attempt.ts";

/** Ends an attempt whose lease has lapsed; the task may run elsewhere. */
export const applyReclaimed: RecordHandler<"reclaimed"> = (ledger, record) => {
  const task = findAttempt(ledger, record.task, record.attempt);
  if ("accepted" in task) return task;
  endAttempt(ledger, task, "RECLAIM", record.atMs);
  return accepted;
};
