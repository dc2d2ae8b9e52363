import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { endAttempt } from "./end_attempt.ts";
import { taskChart } from "./task_chart.ts";
import { voidVerdict } from "./void_verdict.ts";

/**
 * Finishes a task with the result of its newest attempt, even if the attempt
 * was reclaimed before the result came in.
 */
export const applyFinished: RecordHandler<"finished"> = (ledger, record) => {
  const task = ledger.tasks.get(record.task);
  if (task === undefined) return voidVerdict("unknown_task");
  if (task.attempt !== record.attempt || task.attempt === 0) {
    return voidVerdict("wrong_attempt");
  }
  if (taskChart.isFinal(task.state)) return voidVerdict("not_allowed_now");
  const worker = task.worker && ledger.workers.get(task.worker);
  if (worker) worker.failStreak = 0;
  task.result = record.result;
  ledger.accountOf(task).finishedTasks += 1;
  endAttempt(ledger, task, "FINISH", record.atMs);
  return accepted;
};
