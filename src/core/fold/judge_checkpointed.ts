import { accepted } from "./accepted.ts";
import { findAttempt } from "./find_attempt.ts";
import type { Judge } from "./judge.ts";

/** A running task's progress so far can be resumed from. */
export const judgeCheckpointed: Judge<"checkpointed"> = (ledger, record) => {
  const task = findAttempt(ledger, record.task, record.attempt);
  if ("accepted" in task) return task;
  task.checkpoint = record.checkpoint;
  return accepted;
};
