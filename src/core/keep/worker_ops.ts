import type { CellLedger } from "../fold/cell_ledger.ts";
import { taskChart } from "../fold/task_chart.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { TaskReport } from "../worker/task_report.ts";
import type { WorkerOp } from "../worker/worker_op.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import type { TaskIntent } from "./task_intent.ts";

/** Yields the operations that bring a worker in line with the ledger. */
export function* workerOps(
  ledger: CellLedger,
  worker: WorkerRow,
  report: WorkerReport,
  intent: TaskIntent,
): Generator<WorkerOp> {
  const current = new Map<string, TaskReport>();
  for (const reported of report.tasks) {
    const task = ledger.tasks.get(reported.task);
    const isCurrent = task?.attempt === reported.attempt &&
      !taskChart.isFinal(task.state) &&
      (task.worker === worker.id || task.state === "waiting");
    if (isCurrent) current.set(reported.task, reported);
    else yield stopOrForget(reported);
  }
  for (const id of worker.tasks) {
    const task = ledger.tasks.get(id);
    if (task === undefined) continue;
    const reported = current.get(id);
    const op = opFor(ledger, task, reported, intent);
    if (op !== undefined) yield op;
    const share = intent.shareOf(task);
    // The worker runs the task at another speed than intended.
    const isOld = reported?.state === "running" &&
      (reported.share ?? 1) !== share;
    if (isOld) yield { op: "throttle", task: id, attempt: task.attempt, share };
  }
  for (const [id, reported] of current) {
    const task = ledger.tasks.get(reported.task);
    if (task?.state !== "waiting" || reported.state === "finished") continue;
    current.delete(id);
    yield stopOrForget(reported);
  }
}

function stopOrForget({ task, attempt, state }: TaskReport): WorkerOp {
  const op = state === "running" ? "stop" : "forget";
  return { op, task, attempt };
}

function opFor(
  ledger: CellLedger,
  task: TaskRow,
  reported: TaskReport | undefined,
  { isStopping, isGivenUp }: TaskIntent,
): WorkerOp | undefined {
  const { id, attempt } = task;
  if (isGivenUp(task)) return { op: "stop", task: id, attempt };
  if (reported === undefined) return startOp(ledger, task);
  if (reported.state !== "running") return undefined;
  const isEnding = isStopping(task) || task.state === "cancelling";
  return { op: isEnding ? "stop" : "renew", task: id, attempt };
}

function startOp(ledger: CellLedger, task: TaskRow): WorkerOp | undefined {
  const job = ledger.jobs.get(task.job)?.job;
  if (job === undefined || task.reserved === undefined) return undefined;
  const { id, attempt, reserved, checkpoint } = task;
  if (task.state === "cancelling") return { op: "stop", task: id, attempt };
  return {
    op: "start",
    task: id,
    attempt,
    template: job.template,
    reserved,
    runMs: job.runMs,
    input: job.input,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  };
}
