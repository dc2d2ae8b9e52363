import type { TaskId } from "../../schema/task_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { RecordHead } from "./record_head.ts";

/**
 * Yields reclaims of tasks on workers whose leases have lapsed, and of attempts
 * that are given up already. An attempt is given up before its record is sent:
 * it must get no lease any more, however long the record is under way.
 */
export function* reclaimRecords(
  ledger: CellLedger,
  hasLapsed: (worker: WorkerRow) => boolean,
  givenUp: Map<TaskId, number>,
  head: RecordHead,
): Generator<CellRecord> {
  for (const worker of ledger.workers.values()) {
    if (worker.tasks.size === 0) continue;
    const isLapsed = hasLapsed(worker);
    for (const id of worker.tasks) {
      const attempt = ledger.tasks.get(id)?.attempt;
      if (attempt === undefined) continue;
      if (!isLapsed && givenUp.get(id) !== attempt) continue;
      givenUp.set(id, attempt);
      yield { ...head, kind: "reclaimed", task: id, attempt };
    }
  }
}
