import type { CellLedger } from "../fold/cell_ledger.ts";
import { taskChart } from "../fold/task_chart.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { TaskReport } from "../worker/task_report.ts";
import type { WorkerOp } from "../worker/worker_op.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import type { TaskIntent } from "./task_intent.ts";

/** Yields what a worker has to do so that it runs just what the ledger says. */
export function* workerOps(
  ledger: CellLedger,
  worker: WorkerRow,
  report: WorkerReport,
  intent: TaskIntent,
): Generator<WorkerOp> {
  const seen = new Map<string, TaskReport>();
  for (const known of report.tasks) {
    const task = ledger.tasks.get(known.task);
    const isCurrent = task?.attempt === known.attempt &&
      !taskChart.isFinal(task.state) &&
      (task.worker === worker.id || task.state === "waiting");
    if (isCurrent) seen.set(known.task, known);
    else yield dismiss(known);
  }
  for (const id of worker.tasks) {
    const task = ledger.tasks.get(id);
    if (task === undefined) continue;
    const known = seen.get(id);
    const op = opFor(ledger, task, known, intent);
    if (op !== undefined) yield op;
    const share = intent.shareOf(task);
    const isOff = known?.state === "running" && (known.share ?? 1) !== share;
    if (isOff) yield { op: "throttle", task: id, attempt: task.attempt, share };
  }
  for (const [id, known] of seen) {
    const task = ledger.tasks.get(known.task);
    if (task?.state !== "waiting" || known.state === "finished") continue;
    seen.delete(id);
    yield dismiss(known);
  }
}

function dismiss({ task, attempt, state }: TaskReport): WorkerOp {
  const op = state === "running" ? "stop" : "forget";
  return { op, task, attempt };
}

function opFor(
  ledger: CellLedger,
  task: TaskRow,
  known: TaskReport | undefined,
  { isStopping, isGivenUp }: TaskIntent,
): WorkerOp | undefined {
  const { id, attempt } = task;
  if (isGivenUp(task)) return { op: "stop", task: id, attempt };
  if (known === undefined) return startOp(ledger, task);
  if (known.state !== "running") return undefined;
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
