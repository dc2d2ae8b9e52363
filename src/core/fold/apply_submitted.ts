import type { TaskId } from "../../schema/task_id.ts";
import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { taskChart } from "./task_chart.ts";
import type { TaskRow } from "./task_row.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Accepts a job once by its id, before its venture's term ends. */
export const applySubmitted: RecordHandler<"submitted"> = (ledger, record) => {
  const { job } = record;
  if (ledger.jobs.has(job.id)) return voidVerdict("duplicate");
  if (record.atMs >= job.endsAtMs) return voidVerdict("term_over");
  ledger.jobs.set(job.id, {
    job,
    submittedAtMs: record.atMs,
    offset: ledger.nextOffset,
    unfinished: job.tasks,
    evictions: 0,
    cancelled: false,
  });
  for (let index = 0; index < job.tasks; index++) {
    const task: TaskRow = {
      id: `${job.id}/${index}` as TaskId,
      job: job.id,
      state: taskChart.initial,
      attempt: 0,
      failures: 0,
      evictions: 0,
    };
    ledger.tasks.set(task.id, task);
    ledger.enqueue(task);
  }
  return accepted;
};
