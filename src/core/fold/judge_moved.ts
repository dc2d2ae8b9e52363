import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidRecord } from "./void_record.ts";

/** Hands a job that never ran here to another cell. */
export const judgeMoved: Judge<"moved"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidRecord("unknown_job");
  if (row.movedTo !== undefined || row.cancelled) {
    return voidRecord("not_allowed_now");
  }
  const tasks = [...tasksOf(ledger, row)];
  const neverRan = tasks.every((task) =>
    task.state === "waiting" && task.attempt === 0
  );
  if (!neverRan) return voidRecord("not_allowed_now");
  row.movedTo = record.to;
  for (const task of tasks) {
    ledger.dequeue(task);
    ledger.tasks.delete(task.id);
  }
  return accepted;
};
