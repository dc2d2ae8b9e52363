import type { TaskId } from "../../schema/task_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { RecordHead } from "./record_head.ts";

/**
 * Yields reclaims of tasks on workers whose leases have lapsed, and of attempts
 * that are already being reclaimed. An attempt is marked before its record is
 * sent: its lease must not be renewed, however long the append takes.
 */
export function* reclaimRecords(
  ledger: CellLedger,
  hasLapsed: (worker: WorkerRow) => boolean,
  reclaiming: Map<TaskId, number>,
  head: RecordHead,
): Generator<CellRecord> {
  for (const worker of ledger.workers.values()) {
    if (worker.tasks.size === 0) continue;
    const isLapsed = hasLapsed(worker);
    for (const id of worker.tasks) {
      const attempt = ledger.tasks.get(id)?.attempt;
      if (attempt === undefined) continue;
      if (!isLapsed && reclaiming.get(id) !== attempt) continue;
      reclaiming.set(id, attempt);
      yield { ...head, kind: "reclaimed", task: id, attempt };
    }
  }
}
