import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { RecordHead } from "./record_head.ts";
import type { LabelledReport } from "./labelled_report.ts";

/**
 * Yields `worker` records for workers that are new, restarted or changed. A
 * restarted worker waits until its earlier tasks are reclaimed.
 */
export function* workerRecords(
  ledger: CellLedger,
  reports: Iterable<LabelledReport>,
  head: RecordHead,
): Generator<CellRecord> {
  for (const { report, labels } of reports) {
    const { worker, bootId, capacity } = report;
    const row = ledger.workers.get(worker);
    const isUnchanged = row?.bootId === bootId &&
      JSON.stringify([row.capacity, row.labels]) ===
        JSON.stringify([capacity, labels]);
    if (isUnchanged) continue;
    const isRestarted = row !== undefined && row.bootId !== bootId;
    if (isRestarted && row.tasks.size > 0) continue;
    yield { ...head, kind: "worker", worker, bootId, capacity, labels };
  }
}
