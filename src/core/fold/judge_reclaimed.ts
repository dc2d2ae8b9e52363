import { accepted } from "./accepted.ts";
import { findAttempt } from "./find_attempt.ts";
import type { Judge } from "./judge.ts";
import { leaveWorker } from "./leave_worker.ts";

/** Ends an attempt whose lease has lapsed; the task may run elsewhere. */
export const judgeReclaimed: Judge<"reclaimed"> = (ledger, record) => {
  const task = findAttempt(ledger, record.task, record.attempt);
  if ("accepted" in task) return task;
  leaveWorker(ledger, task, "RECLAIM", record.atMs);
  return accepted;
};
