import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { RecordHead } from "./record_head.ts";

/** Yields reclaims of all tasks on workers whose leases have lapsed. */
export function* reclaimRecords(
  ledger: CellLedger,
  hasLapsed: (worker: WorkerRow) => boolean,
  head: RecordHead,
): Generator<CellRecord> {
  for (const worker of ledger.workers.values()) {
    if (worker.tasks.size === 0 || !hasLapsed(worker)) continue;
    for (const id of worker.tasks) {
      const attempt = ledger.tasks.get(id)?.attempt;
      if (attempt === undefined) continue;
      yield { ...head, kind: "reclaimed", task: id, attempt };
    }
  }
}
