import { applyRecord } from "../core/fold/apply_record.ts";
import { CellLedger } from "../core/fold/cell_ledger.ts";
import type { CellRecord } from "../core/fold/cell_record.ts";
import { SnapshotFinder } from "../core/fold/snapshot_finder.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Log } from "../core/log/log.ts";
import type { CellId } from "../schema/cell_id.ts";
import { cellStreamName } from "./cell_stream_name.ts";
import type { AppliedRecord } from "./applied_record.ts";

const recordsPerPage = 1_000;

/**
 * Rebuilds a cell's ledger from the log. If the log no longer keeps the first
 * records, starts from the newest complete snapshot. Calls `onRecord` for each
 * record that it applies.
 */
export async function readCellLedger(
  log: Log,
  cell: CellId,
  onRecord: (applied: AppliedRecord) => void = () => {},
): Promise<CellLedger> {
  const { oldest, records } = await readAll(log, cell);
  const ledger = startingLedger(oldest, records, cell);
  for (const record of records.slice(ledger.nextOffset - oldest)) {
    const offset = ledger.nextOffset;
    const verdict = applyRecord(ledger, record);
    onRecord({ offset, record, verdict });
  }
  return ledger;
}

async function readAll(
  log: Log,
  cell: CellId,
): Promise<{ oldest: number; records: CellRecord[] }> {
  const records: CellRecord[] = [];
  let page = await log.read(cellStreamName(cell), 0, recordsPerPage);
  const oldest = page.from;
  while (true) {
    records.push(...page.records as CellRecord[]);
    const next = oldest + records.length;
    if (next >= page.end) return { oldest, records };
    page = await log.read(cellStreamName(cell), next, recordsPerPage);
    if (page.from > next) {
      throw new GpError("log_unavailable", "records aged out");
    }
  }
}

function startingLedger(
  oldest: number,
  records: readonly CellRecord[],
  cell: CellId,
): CellLedger {
  if (oldest === 0) return new CellLedger();
  const finder = new SnapshotFinder();
  for (const record of records) finder.addRecord(record);
  const ledger = finder.restoreNewest();
  if (ledger === undefined || ledger.nextOffset < oldest) {
    throw new GpError("log_unavailable", `${cell}: no whole snapshot is kept`);
  }
  return ledger;
}
