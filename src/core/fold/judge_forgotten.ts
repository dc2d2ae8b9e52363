import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidRecord } from "./void_record.ts";

/** Deletes the rows of an ended job; accounts stay. */
export const judgeForgotten: Judge<"forgotten"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidRecord("unknown_job");
  if (row.endedAtMs === undefined) return voidRecord("not_allowed_now");
  for (const task of [...tasksOf(ledger, row)]) ledger.tasks.delete(task.id);
  ledger.jobs.delete(record.job);
  return accepted;
};
