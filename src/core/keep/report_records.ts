import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { ReleaseReason } from "../fold/release_reason.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { TaskReport } from "../worker/task_report.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import type { RecordHead } from "./record_head.ts";

/** Yields the records that a worker's report calls for. */
export function* reportRecords(
  ledger: CellLedger,
  report: WorkerReport,
  head: RecordHead,
  evicting: ReadonlyMap<string, ReleaseReason>,
): Generator<CellRecord> {
  for (const seen of report.tasks) {
    const task = ledger.tasks.get(seen.task);
    if (task === undefined || task.attempt !== seen.attempt) continue;
    const record = recordOf(task, seen, report, head, evicting);
    if (record !== undefined) yield record;
  }
}

function recordOf(
  task: TaskRow,
  seen: TaskReport,
  report: WorkerReport,
  head: RecordHead,
  evicting: ReadonlyMap<string, ReleaseReason>,
): CellRecord | undefined {
  const base = { ...head, task: task.id, attempt: task.attempt };
  const open = task.state === "waiting" || task.worker !== undefined;
  if (seen.state === "finished" && open) {
    return { ...base, kind: "finished", result: seen.result ?? "" };
  }
  if (task.worker !== report.worker) return undefined;
  const checkpoint = seen.checkpoint === undefined
    ? {}
    : { checkpoint: seen.checkpoint };
  switch (seen.state) {
    case "failed":
      return { ...base, kind: "failed", detail: seen.detail ?? "" };
    case "stopped": {
      const reason = task.state === "cancelling"
        ? "cancelled"
        : evicting.get(task.id) ?? "worker_leaving";
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
