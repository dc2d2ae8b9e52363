import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { leaveWorker } from "./leave_worker.ts";
import { taskChart } from "./task_chart.ts";
import { voidRecord } from "./void_record.ts";

/**
 * Finishes a task with the result of its newest attempt, even if the attempt
 * was reclaimed before the result came in.
 */
export const judgeFinished: Judge<"finished"> = (ledger, record) => {
  const task = ledger.tasks.get(record.task);
  if (task === undefined) return voidRecord("unknown_task");
  if (task.attempt !== record.attempt || task.attempt === 0) {
    return voidRecord("wrong_attempt");
  }
  if (taskChart.isFinal(task.state)) return voidRecord("not_allowed_now");
  const worker = task.worker && ledger.workers.get(task.worker);
  if (worker) worker.failStreak = 0;
  task.result = record.result;
  ledger.accountOf(task).finishedTasks += 1;
  leaveWorker(ledger, task, "FINISH", record.atMs);
  return accepted;
};
