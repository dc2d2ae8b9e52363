import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { ReleaseReason } from "../fold/release_reason.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { TaskReport } from "../worker/task_report.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import type { RecordHead } from "./record_head.ts";

/** Yields records for attempts that ended, according to a worker's report. */
export function* reportRecords(
  ledger: CellLedger,
  report: WorkerReport,
  head: RecordHead,
  evictions: ReadonlyMap<string, ReleaseReason>,
): Generator<CellRecord> {
  for (const reported of report.tasks) {
    const task = ledger.tasks.get(reported.task);
    if (task === undefined || task.attempt !== reported.attempt) continue;
    const record = recordOf(task, reported, report, head, evictions);
    if (record !== undefined) yield record;
  }
}

function recordOf(
  task: TaskRow,
  reported: TaskReport,
  report: WorkerReport,
  head: RecordHead,
  evictions: ReadonlyMap<string, ReleaseReason>,
): CellRecord | undefined {
  const base = { ...head, task: task.id, attempt: task.attempt };
  const isUnfinished = task.state === "waiting" || task.worker !== undefined;
  if (reported.state === "finished" && isUnfinished) {
    return { ...base, kind: "finished", result: reported.result ?? "" };
  }
  if (task.worker !== report.worker) return undefined;
  const checkpoint = reported.checkpoint === undefined
    ? {}
    : { checkpoint: reported.checkpoint };
  switch (reported.state) {
    case "failed":
      return { ...base, kind: "failed", detail: reported.detail ?? "" };
    case "stopped": {
      const reason = task.state === "cancelling"
        ? "cancelled"
        : evictions.get(task.id) ?? "worker_leaving";
      return { ...base, ...checkpoint, kind: "released", reason };
    }
    case "lapsed":
      return {
        ...base,
        ...checkpoint,
        kind: "released",
        reason: "lease_lapsed",
      };
    case "refused":
      return { ...base, kind: "released", reason: "start_refused" };
    default:
      return undefined;
  }
}
