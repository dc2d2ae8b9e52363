import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Deletes the rows of an ended job; accounts stay. */
export const applyForgotten: RecordHandler<"forgotten"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidVerdict("unknown_job");
  if (row.endedAtMs === undefined) return voidVerdict("not_allowed_now");
  for (const task of [...tasksOf(ledger, row)]) ledger.tasks.delete(task.id);
  ledger.jobs.delete(record.job);
  return accepted;
};
