import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { taskChart } from "./task_chart.ts";
import { tasksOf } from "./tasks_of.ts";
import { voidRecord } from "./void_record.ts";

/** Cancels a job: waiting tasks end now, running ones once they are stopped. */
export const judgeCancelled: Judge<"cancelled"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row === undefined) return voidRecord("unknown_job");
  if (row.cancelled || row.unfinished === 0) return voidRecord("duplicate");
  if (row.movedTo !== undefined) return voidRecord("not_allowed_now");
  row.cancelled = true;
  for (const task of tasksOf(ledger, row)) {
    if (taskChart.isFinal(task.state)) continue;
    ledger.step(task, "CANCEL");
    if (taskChart.isFinal(task.state)) ledger.end(task, record.atMs);
  }
  return accepted;
};
