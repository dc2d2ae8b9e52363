import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { taskChart } from "./task_chart.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Cancels a job: waiting tasks end now, running ones once they are stopped. */
export const applyCancelled: RecordHandler<"cancelled"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidVerdict("unknown_job");
  if (row.cancelled || row.unfinished === 0) return voidVerdict("duplicate");
  if (row.movedTo !== undefined) return voidVerdict("not_allowed_now");
  row.cancelled = true;
  for (const task of tasksOf(ledger, row)) {
    if (taskChart.isFinal(task.state)) continue;
    ledger.transition(task, "CANCEL");
    if (taskChart.isFinal(task.state)) ledger.recordTaskEnd(task, record.atMs);
  }
  return accepted;
};
