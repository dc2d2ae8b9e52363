import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Hands a job that never ran here to another cell. */
export const applyMoved: RecordHandler<"moved"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidVerdict("unknown_job");
  if (row.movedTo !== undefined || row.cancelled) {
    return voidVerdict("not_allowed_now");
  }
  const tasks = [...tasksOf(ledger, row)];
  const neverRan = tasks.every((task) =>
    task.state === "waiting" && task.attempt === 0
  );
  if (!neverRan) return voidVerdict("not_allowed_now");
  row.movedTo = record.to;
  for (const task of tasks) {
    ledger.dequeue(task);
    ledger.tasks.delete(task.id);
  }
  return accepted;
};
